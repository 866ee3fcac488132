package jobrunner

import "context"

const (
	// relaysIntervalMS is how often the entries that carry calls are read anew.
	relaysIntervalMS = 5000
	// relaysOpenMS bounds the wait for the links to these entries before scheduling begins.
	relaysOpenMS = 800
	// relaysCheckMS is how often it is checked whether they are open.
	relaysCheckMS = 20
)

// openRelays opens the links to the entries that carry calls before scheduling begins: otherwise the first polls of all VMs would take the entry's own link.
func (rn *Runner) openRelays(ctx context.Context) {
	limited, cancel := rn.ck.WithTimeout(ctx, relaysOpenMS)
	defer cancel()
	zoneOf, err := rn.ow.Relays(limited)
	if err != nil {
		rn.lg.Fail("relays-unread", err)
		return
	}
	rn.deps.Relays.Update(zoneOf)
	for len(zoneOf) > 0 && !rn.deps.Relays.Ready() {
		if rn.ck.Sleep(limited, relaysCheckMS) != nil {
			return
		}
	}
}

// updateRelays tells the relay which entries may carry calls, if the fleet is too large for this entry's own link.
func (rn *Runner) updateRelays(ctx context.Context) {
	nowMS := rn.ck.Now()
	if nowMS < rn.nextRelaysMS || !rn.linkLimited() {
		return
	}
	rn.nextRelaysMS = nowMS + relaysIntervalMS
	go func() {
		zoneOf, err := rn.ow.Relays(ctx)
		rn.post(ctx, func() {
			if err != nil {
				rn.lg.Fail("relays-unread", err)
				return
			}
			rn.deps.Relays.Update(zoneOf)
		})
	}()
}
