package jobrunner

import "context"

// relaysIntervalMS is how often the entries that carry calls are read anew.
const relaysIntervalMS = 5000

// updateRelays tells the relay which entries may carry calls, if the fleet is too large for this entry's own link.
func (rn *Runner) updateRelays(ctx context.Context) {
	nowMS := rn.ck.Now()
	if nowMS < rn.nextRelaysMS || !rn.deps.Relays.Needed(len(rn.ct.VMs())) {
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
