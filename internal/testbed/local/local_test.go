package local_test

import (
	"context"
	"io"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/testbed/load"
	"github.com/fulmarloft/fulmarloft/internal/testbed/local"
)

// Requests from callers reach the endpoints: none runs twice, the team's limit holds, and requests with an unknown key are refused.
func TestWholePath(t *testing.T) {
	ctx := context.Background()
	ck := clock.New()
	fl, err := local.New(ck, io.Discard, "small")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(fl.Stop)
	qt.Assert(t, fl.Start(ctx), qt.IsNil)
	for !fl.Ready() {
		qt.Assert(t, ck.Sleep(ctx, 5), qt.IsNil)
	}
	gn := load.New(ck, 1, fl.Targets)
	defer gn.Close()
	gn.Add("bratislava", fl.Secret("bratislava"), "replies", 100, 256)
	gn.Add("nobody", "nobody-1.00", "replies", 20, 256)
	res := gn.Run(ctx, 500)
	qt.Assert(t, res, qt.HasLen, 2)
	qt.Check(t, res[0].Sent() > 0, qt.IsTrue)
	qt.Check(t, res[0].Broken(), qt.Equals, 0)
	qt.Check(t, res[0].Answered()+res[0].NotRun()+res[0].Unknown(), qt.Equals, res[0].Sent())
	qt.Check(t, fl.Recorder().Total() >= res[0].Answered(), qt.IsTrue, qt.Commentf("%d runs, %d answers", fl.Recorder().Total(), res[0].Answered()))
	qt.Check(t, fl.Recorder().Repeated(), qt.HasLen, 0)
	qt.Check(t, fl.Recorder().Peak("team:bratislava") <= 20, qt.IsTrue, qt.Commentf("%d runs at once, the limit is 20", fl.Recorder().Peak("team:bratislava")))
	qt.Check(t, res[1].NotRun(), qt.Equals, res[1].Sent())
}
