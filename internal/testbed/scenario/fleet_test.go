package scenario

import (
	"context"
	"net/http"
	"strings"
)

// slowFactor multiplies the run times of an endpoint that was made slow.
const slowFactor = 200

// wave runs the commands "wave create NAME POOL [ZONE]" and "wave pause|resume|cancel NAME".
func (sc *scenario) wave(args []string) {
	sc.requireArgs(args, 2, "wave create|pause|resume|cancel NAME ...")
	if args[0] != "create" {
		sc.callOperatorAPI(http.MethodPost, "/v1/waves/"+args[1]+"/"+args[0], "")
		return
	}
	zones := "[]"
	if len(args) > 3 {
		zones = `["` + args[3] + `"]`
	}
	sc.callOperatorAPI(http.MethodPost, "/v1/waves", `{"name":"`+args[1]+`","pools":["`+args[2]+`"],"zones":`+zones+`}`)
}

// vm runs the commands "vm move NAME POOL" and "vm hold|release|lose|return NAME".
func (sc *scenario) vm(args []string) {
	sc.requireArgs(args, 2, "vm move|hold|release|lose|return NAME [POOL]")
	switch args[0] {
	case "lose":
		sc.check(sc.fl.LoseVM(args[1]))
		return
	case "return":
		sc.check(sc.fl.ReturnVM(args[1]))
		return
	}
	body := `{"reason":"scenario"}`
	if args[0] == "move" {
		body = `{"target":"` + args[2] + `"}`
	}
	sc.callOperatorAPI(http.MethodPost, "/v1/vms/"+args[1]+"/"+args[0], body)
}

// expectWave waits until a wave is listed in a state: expect wave NAME STATE.
func (sc *scenario) expectWave(args []string) {
	sc.waitUntil("wave "+strings.Join(args, " "), func() bool {
		state, _, err := sc.fl.ListedState(context.Background(), "/v1/waves", args[0])
		sc.check(err)
		return state == args[1]
	})
}

// expectVM waits until a VM is listed in a state and a pool: expect vm NAME STATE POOL.
func (sc *scenario) expectVM(args []string) {
	sc.waitUntil("vm "+strings.Join(args, " "), func() bool {
		state, pool, err := sc.fl.ListedState(context.Background(), "/v1/vms", args[0])
		sc.check(err)
		return state == args[1] && pool == args[2]
	})
}

// expectUsed waits until a request has run on a VM: expect used NAME.
func (sc *scenario) expectUsed(args []string) {
	sc.waitUntil("used "+args[0], func() bool { return sc.fl.Recorder().Peak("vm:"+args[0]) > 0 })
}

func (sc *scenario) callOperatorAPI(method, path, body string) {
	_, err := sc.fl.CallOperatorAPI(context.Background(), method, path, body)
	sc.check(err)
}
