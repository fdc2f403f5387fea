package edge

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"samphirehitch.example/samphirehitch/process/directory"
	"samphirehitch.example/samphirehitch/process/event"
	"samphirehitch.example/samphirehitch/process/failover"
	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/process/tenure"
	"samphirehitch.example/samphirehitch/process/topology"
)

var (
	eventDutyTaken  = event.Define(4110, event.Info, "promotion duty taken")
	eventDutyLost   = event.Define(4111, event.Warning, "promotion duty lost")
	eventStep       = event.Define(4112, event.Info, "failover step")
	eventStepFailed = event.Define(4113, event.Warning, "failover step failed")
	eventYielded    = event.Define(4114, event.Info, "use of a fenced primary has ended here")
	eventSuspect    = event.Define(4115, event.Warning, "primary cannot be reached from here")
	eventTrusted    = event.Define(4116, event.Info, "primary can be reached again from here")
)

// Times of leading.
const (
	// leadInterval is the pause between looks at the services.
	leadInterval = 250 * time.Millisecond
	// busyLeadInterval is the pause while a failover is under way.
	busyLeadInterval = 25 * time.Millisecond
	// leadListInterval is the pause between listings by the holder of the duty, and
	// busyListInterval that during a failover.
	leadListInterval = time.Second
	busyListInterval = 200 * time.Millisecond
	// yieldPatience is how long statements in flight on a fenced primary may take
	// before their answers are given up.
	yieldPatience = 250 * time.Millisecond
	// probeTimeout bounds a status request.
	probeTimeout = 400 * time.Millisecond
	// orderTimeout bounds a promotion order.
	orderTimeout = 2 * time.Second
)

type targetMap map[topology.TargetID]directory.Target

// String lists the targets for the log.
func (m targetMap) String() string {
	parts := make([]string, 0, len(m))
	for id, t := range m {
		part := fmt.Sprintf("%s@%s %s", id, t.Address, t.Role)
		if t.Draining {
			part += " draining"
		}
		parts = append(parts, part)
	}
	slices.Sort(parts)
	return strings.Join(parts, ", ")
}

// groupRecord is a record with its revision.
type groupRecord struct {
	failover.Record
	revision store.Revision
}

func decodeGroup(entry store.Entry) (groupRecord, error) {
	record, err := failover.DecodeRecord(entry.Value)
	return groupRecord{Record: record, revision: entry.Revision}, err
}

// leader holds the duty's state. Only the lead loop and the actions it starts
// use it.
type leader struct {
	mu    sync.Mutex
	token failover.FencingToken
	// lease holds the duty; renewed is when its last renewal was asked. Only the
	// lead loop writes them.
	lease        store.LeaseID
	renewed      time.Duration
	coordinators map[topology.ServiceID]*failover.Coordinator
	// fences notes for each fenced record when its last right ends.
	fences map[topology.ServiceID]fence
}

type fence struct {
	sequence uint64
	end      time.Duration
}

// lead takes the duty when it is free and drives the failovers while it is held.
func (d *Daemon) lead(ctx context.Context) error {
	var listAt time.Duration
	for ctx.Err() == nil {
		wait := leadInterval
		if d.holdDuty(ctx) {
			listEvery := leadListInterval
			if d.stepAll(ctx) {
				wait, listEvery = busyLeadInterval, busyListInterval
			}
			if now := d.clock(); now >= listAt {
				listAt = now + listEvery
				d.listOwn(ctx)
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		case <-d.leadWake:
		}
	}
	return nil
}

// listOwn reads what instances say, which decides failovers: a watch may be deaf for
// seconds while the store discards its history.
func (d *Daemon) listOwn(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	listing, err := d.store.List(callCtx, prefixOwn)
	if err != nil {
		d.storeFailed("list instances", err)
		return
	}
	d.mu.Lock()
	changed := d.mirror.Replace(prefixOwn, listing)
	d.mu.Unlock()
	d.changed(changed)
}

// stepAll steps every service's coordinator and reports whether one is busy.
func (d *Daemon) stepAll(ctx context.Context) bool {
	busy := false
	for _, service := range d.engine.Services() {
		now := d.clock()
		view := d.view(now, service)
		d.leader.mu.Lock()
		c, known := d.leader.coordinators[service]
		if !known {
			c = &failover.Coordinator{}
			d.leader.coordinators[service] = c
		}
		action := c.Step(now, view)
		busy = busy || c.Busy()
		token := d.leader.token
		d.leader.mu.Unlock()
		if action.Kind != failover.NoAction {
			go d.perform(ctx, service, c, action, token)
		}
	}
	return busy
}

// view collects what the coordinator of a service needs to know.
func (d *Daemon) view(now time.Duration, service topology.ServiceID) failover.View {
	d.mu.Lock()
	defer d.mu.Unlock()
	entry := d.mirror.Get(groupKey(service))
	v := failover.View{Targets: d.targets[service], Revision: entry.Revision, OwnerCount: d.homeCount[service]}
	if entry.Revision != 0 {
		record, err := failover.DecodeRecord(entry.Value)
		if err != nil {
			eventTargetBroken.LogError(d.log, err, "key", entry.Key)
			return failover.View{}
		}
		v.Record = record
	}
	// Users that declared themselves before the fence are all known only once the
	// mirror holds every change up to it.
	v.FenceAcknowledged = v.Record.Fenced && d.seen >= entry.Revision
	d.mirror.ForEach(prefixUses, func(entry store.Entry) {
		var uses usage
		if err := json.Unmarshal(entry.Value, &uses); err == nil && !slices.Contains(uses, service) {
			return // it holds no right to the primary
		}
		v.InstanceCount++
		id := topology.InstanceID(strings.TrimPrefix(entry.Key, prefixUses))
		yielded := d.mirror.Get(yieldKey(service, id))
		if string(yielded.Value) != yieldValue(v.Record.Sequence) {
			v.FenceAcknowledged = false
		}
		if suspected := d.mirror.Get(suspectKey(service, id)); string(suspected.Value) == string(v.Record.Primary) && suspected.Revision != 0 {
			v.SuspectCount++
		}
	})
	if v.Record.Fenced {
		v.AuthorityExpiresAt = d.fenceEnd(now, service, v.Record.Sequence)
	}
	return v
}

// fenceEnd returns when the last right to a fenced primary ends: a span after
// this instance first saw the fence, which was written before.
func (d *Daemon) fenceEnd(now time.Duration, service topology.ServiceID, sequence uint64) time.Duration {
	d.leader.mu.Lock()
	defer d.leader.mu.Unlock()
	f, known := d.leader.fences[service]
	if !known || f.sequence != sequence {
		f = fence{sequence: sequence, end: now + tenure.FenceWait}
		if d.leader.fences != nil {
			d.leader.fences[service] = f
		}
	}
	return f.end
}
