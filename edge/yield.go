package edge

import (
	"context"
	"fmt"
	"time"

	"samphirehitch.example/samphirehitch/process/failover"
	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/process/topology"
)

func yieldValue(sequence uint64) string { return fmt.Sprint(sequence) }

// yield gives up a fenced primary: it waits a little for what is in flight and
// tells the holder of the duty.
func (d *Daemon) yield(service topology.ServiceID, record failover.Record) {
	end := d.clock() + yieldPatience
	for !d.engine.ReleasePrimary(service, false) && d.clock() < end {
		time.Sleep(5 * time.Millisecond)
	}
	d.engine.ReleasePrimary(service, true)
	for d.ctx.Err() == nil {
		d.mu.Lock()
		current, lease := d.records[service], d.lease
		d.mu.Unlock()
		if !current.Fenced || current.Sequence != record.Sequence {
			return
		}
		if lease != 0 {
			callCtx, cancel := context.WithTimeout(d.ctx, callTimeout)
			_, err := d.store.Transact(callCtx, store.Transaction{Puts: []store.Put{{
				Key: yieldKey(service, d.settings.Instance), Value: []byte(yieldValue(record.Sequence)), Lease: lease,
			}}})
			cancel()
			if err == nil {
				eventYielded.Log(d.log, "service", service, "primary", record.Primary, "sequence", record.Sequence)
				return
			}
			d.storeFailed("yield", err)
		}
		pause(d.ctx, retryPause)
	}
}
