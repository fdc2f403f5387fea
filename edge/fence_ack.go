package edge

import (
	"context"
	"fmt"
	"time"

	"samphirehitch.example/samphirehitch/process/failover"
	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/process/topology"
)

// fenceAckValue returns the stored value that acknowledges a service's fence of the
// given sequence number.
func fenceAckValue(sequence uint64) string { return fmt.Sprint(sequence) }

// acknowledgeFence stops the use of a fenced primary and acknowledges the fence to the
// failover leader. It first waits for statements in flight, up to fenceDrainTimeout.
// The acknowledgement is retried until it is written or the fence is lifted.
func (d *Daemon) acknowledgeFence(service topology.ServiceID, record failover.Record) {
	deadline := d.clock() + fenceDrainTimeout
	for !d.engine.ReleasePrimary(service, false) && d.clock() < deadline {
		time.Sleep(5 * time.Millisecond)
	}
	d.engine.ReleasePrimary(service, true)
	for d.ctx.Err() == nil {
		d.mu.Lock()
		current, lease := d.records[service], d.lease.id
		d.mu.Unlock()
		if !current.Fenced || current.FenceSequence != record.FenceSequence {
			return
		}
		if lease != 0 {
			callCtx, cancel := context.WithTimeout(d.ctx, callTimeout)
			_, err := d.store.Transact(store.WithPurpose(callCtx, purposeFenceAck), store.Transaction{Puts: []store.Put{{
				Key: fenceAckKey(service, d.settings.Instance), Value: []byte(fenceAckValue(record.FenceSequence)), Lease: lease,
			}}})
			cancel()
			if err == nil {
				eventFenceAcknowledged.Log(d.log, "service", service, "primary", record.Primary, "sequence", record.FenceSequence)
				return
			}
			d.storeFailed("yield", err)
		}
		sleep(d.ctx, minRetryInterval)
	}
}
