package edge

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"samphirehitch.example/samphirehitch/process/authority"
	"samphirehitch.example/samphirehitch/process/directory"
	"samphirehitch.example/samphirehitch/process/event"
	"samphirehitch.example/samphirehitch/process/failover"
	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/process/topology"
)

var (
	eventLeadershipAcquired = event.Define(4110, event.Info, "failover leadership acquired")
	eventLeadershipLost     = event.Define(4111, event.Warning, "failover leadership lost")
	eventFailoverStep       = event.Define(4112, event.Info, "failover step")
	eventFailoverStepFailed = event.Define(4113, event.Warning, "failover step failed")
	eventFenceAcknowledged  = event.Define(4114, event.Info, "fence acknowledged, primary no longer used by this instance")
	eventPrimarySuspected   = event.Define(4115, event.Warning, "primary unreachable from this instance")
	eventPrimaryReachable   = event.Define(4116, event.Info, "primary reachable from this instance again")
)

// Intervals and timeouts of failovers.
const (
	// stepInterval is the interval between steps of the services' coordinators.
	stepInterval = 250 * time.Millisecond
	// busyStepInterval is the interval while a failover is under way.
	busyStepInterval = 25 * time.Millisecond
	// listInterval is the interval between the leader's listings of the instances' keys,
	// and busyListInterval that during a failover.
	listInterval     = time.Second
	busyListInterval = 200 * time.Millisecond
	// fenceDrainTimeout is how long statements in flight on a fenced primary may take
	// before they are aborted.
	fenceDrainTimeout = 250 * time.Millisecond
	// probeTimeout bounds a status request.
	probeTimeout = 400 * time.Millisecond
	// promotionCallTimeout bounds a promotion request.
	promotionCallTimeout = 2 * time.Second
)

// targetMap holds the targets of a service.
type targetMap map[topology.TargetID]directory.Target

// String returns a description of the targets for the log.
func (m targetMap) String() string {
	parts := make([]string, 0, len(m))
	for id, target := range m {
		part := fmt.Sprintf("%s@%s %s", id, target.Address, target.Role)
		if target.Draining {
			part += " draining"
		}
		parts = append(parts, part)
	}
	slices.Sort(parts)
	return strings.Join(parts, ", ")
}

// storedRecord is a primary's record with its revision in the store.
type storedRecord struct {
	failover.Record
	revision store.Revision
	// seenAt is when this instance first saw the record at the revision.
	seenAt time.Duration
}

func decodeStoredRecord(entry store.Entry) (storedRecord, error) {
	record, err := failover.DecodeRecord(entry.Value)
	return storedRecord{Record: record, revision: entry.Revision}, err
}

// leadership is this instance's state as failover leader. It is used by the failover
// loop and the actions that the loop starts.
type leadership struct {
	mu sync.Mutex
	// token is that of the current leadership, zero while this instance is not the
	// leader.
	token failover.FencingToken
	// lease is that of the leader's key, zero for none, and renewedAt when its last
	// successful renewal was sent. Only the failover loop writes them.
	lease     store.LeaseID
	renewedAt time.Duration
	// renewedEra is the era of the store at that renewal.
	renewedEra store.Era
	// restoredEra is the era before whose begin this instance led, and promoting holds the
	// services for which it had requested a promotion then.
	restoredEra store.Era
	promoting   map[topology.ServiceID]bool
	// ordering is the number of promotions that are being requested.
	ordering int
	// coordinators run the services' failovers under coordinatorsToken; a later token discards them.
	coordinatorsToken failover.FencingToken
	coordinators      map[topology.ServiceID]*failover.Coordinator
	// fences are the known fences by service, nil before the first leadership.
	fences map[topology.ServiceID]fence
}

// fence is a fence of a service's primary, as this instance first saw it as leader.
type fence struct {
	sequence uint64
	// authorityExpiresAt is when no instance has the authority to use the primary any
	// more.
	authorityExpiresAt time.Duration
}

// failoverLoop maintains the leadership, and runs the services' failovers while this
// instance is the leader.
func (d *Daemon) failoverLoop(ctx context.Context) error {
	var nextListAt time.Duration
	for ctx.Err() == nil {
		wait := stepInterval
		if d.maintainLeadership(ctx) {
			interval := listInterval
			if d.stepCoordinators(ctx) {
				wait, interval = busyStepInterval, busyListInterval
			}
			if now := d.clock(); now >= nextListAt {
				nextListAt = now + interval
				d.relistInstanceKeys(ctx)
			}
			d.publishSettledEra(ctx)
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		case <-d.failoverWake:
		}
	}
	return nil
}

// publishSettledEra writes the era to the store once all authority from before it has
// expired.
func (d *Daemon) publishSettledEra(ctx context.Context) {
	transaction, due := d.settledEraTransaction()
	if !due {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	d.transact(store.WithPurpose(callCtx, purposeFailover), "publish settled era", transaction)
}

// relistInstanceKeys lists the instances' keys, on which failovers depend: a watch may
// return nothing for seconds while the store discards its history. It reports whether it did.
func (d *Daemon) relistInstanceKeys(ctx context.Context) bool {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	listing, err := d.store.List(store.WithPurpose(callCtx, purposeFailover), prefixProject)
	if err != nil {
		d.storeFailed("list instances", err)
		return false
	}
	d.replaceMirrored(prefixProject, listing)
	return true
}

// stepCoordinators steps every service's coordinator and starts the actions that they
// return. It reports whether a failover is under way.
func (d *Daemon) stepCoordinators(ctx context.Context) bool {
	busy := false
	for _, service := range d.engine.Services() {
		now := d.clock()
		view := d.failoverView(now, service)
		d.leadership.mu.Lock()
		coordinator, known := d.leadership.coordinators[service]
		if !known {
			coordinator = &failover.Coordinator{}
			d.leadership.coordinators[service] = coordinator
		}
		action := coordinator.Step(now, view)
		busy = busy || coordinator.Busy()
		token := d.leadership.token
		d.leadership.mu.Unlock()
		if action.Kind != failover.NoAction {
			go d.runFailoverActions(ctx, service, coordinator, action, token)
		}
	}
	return busy
}

// failoverView returns the input of a service's coordinator.
func (d *Daemon) failoverView(now time.Duration, service topology.ServiceID) failover.View {
	d.mu.Lock()
	defer d.mu.Unlock()
	entry := d.mirror.Get(recordKey(service))
	view := failover.View{Targets: d.targets[service], Revision: entry.Revision, OwnerCount: d.ownerCounts[service],
		Era: d.era.number, PromotionsSettled: d.settled(now, promotionSettleTime), RecordSeenAt: now}
	if known := d.records[service]; known.revision == entry.Revision {
		view.RecordSeenAt = known.seenAt
	}
	if config := d.engine.Catalog(); config != nil {
		view.SynchronousReplicas = config.Services[service].SynchronousReplicas
	}
	if entry.Revision != 0 {
		record, err := failover.DecodeRecord(entry.Value)
		if err != nil {
			d.noteUnreadable(entry, err)
			return failover.View{}
		}
		view.Record = record
	}
	d.addDeclaredLoss(service, &view)
	if entry.Revision == 0 || view.Record.Era != view.Era {
		d.addKnownRecords(service, &view)
	}
	// All instances that declared their usage before the fence are known only once the
	// mirror holds every change up to it, and a restore of the store has lost none that may
	// still have authority.
	view.FenceAcknowledged = view.Record.Fenced && d.mirroredUntil >= entry.Revision && d.settled(now, authority.FenceWait)
	d.mirror.ForEach(prefixUsages, func(entry store.Entry) {
		var used usage
		if err := json.Unmarshal(entry.Value, &used); err == nil && !slices.Contains(used, service) {
			return // the instance does not use the primary; an unreadable usage counts
		}
		view.InstanceCount++
		id := topology.InstanceID(strings.TrimPrefix(entry.Key, prefixUsages))
		ack := d.mirror.Get(fenceAckKey(service, id))
		if string(ack.Value) != fenceAckValue(view.Record.FenceSequence) {
			view.FenceAcknowledged = false
		}
		if suspected := d.mirror.Get(suspicionKey(service, id)); string(suspected.Value) == string(view.Record.Primary) && suspected.Revision != 0 {
			view.SuspectCount++
		}
	})
	if view.Record.Fenced {
		view.AuthorityExpiresAt = d.authorityExpiry(now, service, view.Record.FenceSequence)
	}
	return view
}

// authorityExpiry returns when the last authority to use a fenced primary has expired:
// FenceWait after this leader first saw the fence, which was written earlier.
func (d *Daemon) authorityExpiry(now time.Duration, service topology.ServiceID, sequence uint64) time.Duration {
	d.leadership.mu.Lock()
	defer d.leadership.mu.Unlock()
	current, known := d.leadership.fences[service]
	if !known || current.sequence != sequence {
		current = fence{sequence: sequence, authorityExpiresAt: now + authority.FenceWait}
		if d.leadership.fences != nil {
			d.leadership.fences[service] = current
		}
	}
	return current.authorityExpiresAt
}
