package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	decisionMS = 60
	periodMS   = 5
)

// adviceHandler serves the advice service, one call at a time.
func (fl *fleet) adviceHandler() http.Handler {
	var turn sync.Mutex
	return http.HandlerFunc(func(wr http.ResponseWriter, rq *http.Request) {
		var body struct {
			Step    string   `json:"step"`
			Workers []string `json:"workers"`
		}
		if json.NewDecoder(rq.Body).Decode(&body) != nil {
			wr.WriteHeader(http.StatusBadRequest)
			return
		}
		turn.Lock()
		defer turn.Unlock()
		time.Sleep(time.Duration(decisionMS+periodMS*len(body.Workers)) * time.Millisecond)
		fl.mu.Lock()
		defer fl.mu.Unlock()
		rows := [][2]string{}
		for _, mn := range fl.minions {
			for _, id := range body.Workers {
				if mn.id != id || (fl.good != nil && !fl.good(body.Step, id)) {
					continue
				}
				text := fmt.Sprintf("t-%d", len(fl.tickets))
				fl.tickets[text] = ticket{body.Step, id, mn.born, time.Now().Add(time.Duration(fl.validityMS) * time.Millisecond)}
				rows = append(rows, [2]string{id, text})
			}
		}
		fl.noteLocked("advice on %s for %v: %v", body.Step, body.Workers, rows)
		writeJSON(wr, http.StatusOK, map[string]any{"good": rows, "validity_ms": fl.validityMS})
	})
}

// ticketValid reports whether a start carries the ticket that its queue asks for; the caller holds the lock.
func (fl *fleet) ticketValid(mn *minion, od orderBody) bool {
	jb, ok := fl.jobs[strings.Split(od.Task, ".")[0]]
	if !ok || !jb.advised {
		return true
	}
	tc, ok := fl.tickets[od.Ticket]
	step := od.Task[:strings.LastIndexByte(od.Task, '.')]
	return ok && tc.step == step && tc.id == mn.id && tc.born == mn.born && time.Now().Before(tc.until)
}
