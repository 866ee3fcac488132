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
	rn.deps.Relays.Update(zoneOf, !rn.linkLimited())
	for len(zoneOf) > 0 && !rn.deps.Relays.Ready() {
		if rn.ck.Sleep(limited, relaysCheckMS) != nil {
			return
		}
	}
}

// recordTick records a tick of the loop, and logs that the processor doesn't suffice when that shows for the first time.
func (rn *Runner) recordTick() {
	wasShort := rn.load.Short()
	rn.load.RecordTick(rn.ck.Now(), tickIntervalMS)
	if rn.load.Short() && !wasShort {
		rn.lg.Info("owner-short-of-processor", "token", rn.ow.Token(), "late-ms", rn.load.MeanLateMS(), "vms", len(rn.ct.VMs()), "busy-vms", rn.ct.BusyVMs())
	}
}

// updateRelays tells the relay which entries may carry calls, if the fleet is too large for this entry's own link or its processor has been short.
func (rn *Runner) updateRelays(ctx context.Context) {
	nowMS := rn.ck.Now()
	if nowMS < rn.nextRelaysMS || !(rn.linkLimited() || rn.load.Short()) {
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
			rn.deps.Relays.Update(zoneOf, !rn.linkLimited())
		})
	}()
}
