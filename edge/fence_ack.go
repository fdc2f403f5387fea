package edge

import (
	"context"
	"errors"
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
	d.mu.Lock()
	latest := d.records[service]
	d.mu.Unlock()
	d.engine.SetRecord(service, latest.Record, latest.revision) // it may not know the fence yet
	deadline := d.clock() + fenceDrainTimeout
	for !d.engine.ReleasePrimary(service, false) && d.clock() < deadline {
		time.Sleep(5 * time.Millisecond)
	}
	d.engine.ReleasePrimary(service, true)
	key := fenceAckKey(service, d.settings.Instance)
	d.mu.Lock()
	known := d.mirror.Get(key).Revision
	d.mu.Unlock()
	for d.ctx.Err() == nil {
		d.mu.Lock()
		current, lease := d.records[service], d.lease.id
		d.mu.Unlock()
		if !current.Fenced || current.FenceSequence != record.FenceSequence {
			return
		}
		if lease != 0 {
			err := d.putFenceAck(record.FenceSequence, store.Put{Key: key, Lease: lease}, known)
			var conflict *store.ConflictError
			switch {
			case err == nil:
				eventFenceAcknowledged.Log(d.log, "service", service, "primary", record.Primary, "sequence", record.FenceSequence)
				return
			case errors.As(err, &conflict):
				known = foundRevision(store.Expectation{Key: key}, conflict)
				continue
			}
			d.storeFailed("yield", err)
		}
		sleep(d.ctx, minRetryInterval)
	}
}

// acknowledgeFencesUnder acknowledges the fences in force again whose acknowledgements end with
// another lease than the given one.
func (d *Daemon) acknowledgeFencesUnder(lease store.LeaseID) {
	fenced := make(map[topology.ServiceID]failover.Record)
	d.mu.Lock()
	for _, service := range d.declaredServices {
		record := d.records[service]
		if record.Fenced && d.mirror.Get(fenceAckKey(service, d.settings.Instance)).Lease != lease {
			fenced[service] = record.Record
		}
	}
	d.mu.Unlock()
	for service, record := range fenced {
		go d.acknowledgeFence(service, record)
	}
}

// putFenceAck writes the acknowledgement of a fence to a key, provided that the key is still at
// the last known revision. A write whose response was lost may take effect seconds later.
// Without the condition it could replace the acknowledgement of a later fence.
func (d *Daemon) putFenceAck(sequence uint64, put store.Put, known store.Revision) error {
	callCtx, cancel := context.WithTimeout(d.ctx, callTimeout)
	defer cancel()
	put.Value = []byte(fenceAckValue(sequence))
	revision, err := d.store.Transact(store.WithPurpose(callCtx, purposeFenceAck), store.Transaction{
		Expect: []store.Expectation{{Key: put.Key, Revision: known}}, Puts: []store.Put{put},
	})
	if err != nil {
		return err
	}
	d.applyChanges([]store.Change{{Entry: store.Entry{Key: put.Key, Value: put.Value, Revision: revision, Lease: put.Lease}}})
	return nil
}
