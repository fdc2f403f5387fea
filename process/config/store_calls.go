package config

import (
	"errors"
	"fmt"
	"time"

	"samphirehitch.example/samphirehitch/process/store"
)

// Intervals of the calls to the store.
const (
	// heartbeatInterval is the age of the evidence at which the first watcher
	// writes a heartbeat.
	heartbeatInterval = time.Second
	// heartbeatStagger is how much longer each further watcher waits than the
	// one ranked before it.
	heartbeatStagger = 250 * time.Millisecond
	// minWatchInterval is the minimum time between the starts of two watch
	// calls.
	minWatchInterval = 100 * time.Millisecond
	// minRetryBackoff and maxRetryBackoff bound the exponential backoff after a
	// failed list or watch call.
	minRetryBackoff = 100 * time.Millisecond
	maxRetryBackoff = 2 * time.Second
	// A watch is restarted when it has not returned a written heartbeat within
	// watchStallTimeout plus stallTimeoutWrites times the duration of the last
	// heartbeat write.
	watchStallTimeout  = 1500 * time.Millisecond
	stallTimeoutWrites = 2
	// membersTimeout is how long a newly started instance waits for the lists
	// of instances before it reads the store on the assumption that it is
	// alone.
	membersTimeout = time.Second
)

// storeCalls is the state of this instance's calls to the store. At most one
// list, one watch and one heartbeat write are in flight.
type storeCalls struct {
	// membersKnown is set once a MembersChanged event has provided the lists of
	// instances.
	membersKnown bool
	// startedAt is the time of the first tick; valid when started.
	started   bool
	startedAt time.Duration

	listing  bool
	watching bool
	// relist is set when the store was restored, so that the watch has to start over
	// with a listing.
	relist bool
	// watchStartedAt is when the current watch was started.
	watchStartedAt time.Duration
	// nextCall is the earliest time of the next list or watch call.
	nextCall time.Duration
	// failures counts consecutive failed list and watch calls.
	failures int

	heartbeatInFlight bool
	// heartbeatDuration is how long the last successful heartbeat write took.
	heartbeatDuration time.Duration
	// heartbeatSentAt is when the current or last heartbeat was sent, and
	// revisionAtSend the revision up to which this instance knew every change
	// at that time.
	heartbeatSentAt time.Duration
	revisionAtSend  store.Revision
	heartbeatKey    string
	// nextHeartbeat is the earliest time of the next heartbeat.
	nextHeartbeat time.Duration
	// sequence makes every heartbeat's value unique.
	sequence uint64
	// heartbeatRevisions holds the last known revision of each heartbeat key,
	// which the next write expects.
	heartbeatRevisions map[string]store.Revision
}

// startStoreCalls starts the store calls that are due. Only watchers call the
// store: they list the configuration once, unless peers deliver it first, and
// then watch it and write heartbeats.
func (c *Coordinator) startStoreCalls(now time.Duration) {
	if !c.store.started {
		c.store.started, c.store.startedAt = true, now
	}
	rank, isWatcher := c.placement.watcherRank()
	if !c.store.membersKnown && now-c.store.startedAt < membersTimeout {
		return
	}
	if !isWatcher {
		c.stopWatch()
		return
	}
	if !c.replica.loaded || c.store.relist {
		c.startList(now)
		return
	}
	c.restartStalledWatch(now)
	c.startWatch(now)
	c.startHeartbeat(now, rank)
}

func (c *Coordinator) startList(now time.Duration) {
	if c.store.listing || now < c.store.nextCall {
		return
	}
	c.store.listing = true
	c.emit(StartList{})
}

func (c *Coordinator) startWatch(now time.Duration) {
	if c.store.watching || now < c.store.nextCall {
		return
	}
	c.store.watching, c.store.watchStartedAt = true, now
	c.store.nextCall = now + minWatchInterval*time.Duration(c.placement.storeCallSlowdown())
	c.emit(StartWatch{After: c.replica.completeRevision})
}

// stopWatch abandons the current watch, if any.
func (c *Coordinator) stopWatch() {
	if c.store.watching {
		c.store.watching = false
		c.emit(StopWatch{})
	}
}

// restartStalledWatch stops a watch that does not return a heartbeat which the
// store has accepted, as after its connection died without notice; startWatch
// then starts a new one. The timeout grows with the duration of writes, so that
// a slow store gets more time.
func (c *Coordinator) restartStalledWatch(now time.Duration) {
	oldest, ok := c.evidence.oldestPending()
	stallTimeout := watchStallTimeout + stallTimeoutWrites*c.store.heartbeatDuration
	if ok && c.store.watching && now-max(oldest, c.store.watchStartedAt) >= stallTimeout {
		c.stopWatch()
	}
}

// startHeartbeat writes a heartbeat once the last known contact with the store
// is too old. The age grows with the watcher's rank, so that usually only the
// first watcher writes. Heartbeats that were written and not yet returned by
// the watch count as contact.
func (c *Coordinator) startHeartbeat(now time.Duration, rank int) {
	if c.store.heartbeatInFlight || now < c.store.nextHeartbeat {
		return
	}
	minAge := heartbeatInterval + time.Duration(rank)*heartbeatStagger
	if at, ok := c.evidence.lastStoreContact(); ok && now-at < minAge {
		return
	}
	c.store.heartbeatInFlight, c.store.heartbeatSentAt, c.store.revisionAtSend = true, now, c.replica.completeRevision
	c.store.nextHeartbeat = now + c.jitter(heartbeatInterval*time.Duration(c.placement.storeCallSlowdown()))
	c.store.sequence++
	c.store.heartbeatKey = fmt.Sprintf("%s%d", HeartbeatPrefix, rank)
	value := fmt.Appendf(nil, "%s %d", c.self.ID, c.store.sequence)
	c.emit(StartSwap{Swap: store.Swap{Key: c.store.heartbeatKey, Expect: c.store.heartbeatRevisions[c.store.heartbeatKey], Value: value}})
}

// nextBackoff counts a failure and returns the jittered exponential backoff
// after it.
func (c *Coordinator) nextBackoff() time.Duration {
	backoff := min(minRetryBackoff<<min(c.store.failures, 10), maxRetryBackoff)
	c.store.failures++
	return c.jitter(backoff) * time.Duration(c.placement.storeCallSlowdown())
}

// handleListDone loads the listed records, unless a peer delivered the
// configuration in the meantime.
func (c *Coordinator) handleListDone(now time.Duration, event ListDone) {
	c.store.listing = false
	if event.Err != nil {
		c.store.nextCall = now + c.nextBackoff()
		return
	}
	c.store.failures = 0
	var entries []store.Entry
	for _, entry := range event.Listing.Entries {
		if isHeartbeat(entry.Key) {
			c.store.heartbeatRevisions[entry.Key] = entry.Revision
			continue
		}
		entries = append(entries, entry)
	}
	c.store.relist = false
	switch {
	case !c.replica.loaded:
		c.replica.loadSnapshot(entries, event.Listing.Revision, event.Listing.Revision)
	case event.Listing.Revision.Era() > c.replica.completeRevision.Era():
		known := c.replica.completeRevision
		held := c.replica.loadRestored(entries, event.Listing.Revision)
		c.emit(StoreReverted{Known: known, Returned: event.Listing.Revision, Held: held})
	default:
		return
	}
	c.publish()
}

// handleWatchDone applies the changes that a watch returned.
func (c *Coordinator) handleWatchDone(now time.Duration, event WatchDone) {
	c.store.watching = false
	if errors.Is(event.Err, store.ErrHistoryDiscarded) {
		c.store.relist = true
		return
	}
	if event.Err != nil {
		c.store.nextCall = max(c.store.nextCall, now+c.nextBackoff())
		return
	}
	c.store.failures = 0
	delta := Delta{After: c.replica.completeRevision, CompleteRevision: event.CompleteRevision}
	for _, change := range event.Changes {
		if isHeartbeat(change.Key) {
			c.recordHeartbeat(change)
			continue
		}
		delta.Updates = append(delta.Updates, Update{
			Key: change.Key, Value: change.Value, Revision: change.Revision, Deleted: change.Deleted,
		})
	}
	c.applyDelta(delta, "")
}

// recordHeartbeat records a heartbeat key's revision, which the next write of
// the key expects.
func (c *Coordinator) recordHeartbeat(change store.Change) {
	revision := change.Revision
	if change.Deleted {
		revision = 0
	}
	c.store.heartbeatRevisions[change.Key] = revision
}

// failedHeartbeatDelay returns the extra delay after a failed heartbeat. It
// grows with the rank and so spreads out the retries of many watchers during an
// outage of the store.
func (c *Coordinator) failedHeartbeatDelay() time.Duration {
	rank, _ := c.placement.watcherRank()
	return heartbeatStagger * time.Duration(max(0, rank))
}

// handleSwapDone processes the outcome of a heartbeat write. Every state that
// the store had before the heartbeat was sent lies below the returned revision,
// which therefore is a revision bound for the time of sending.
func (c *Coordinator) handleSwapDone(now time.Duration, event SwapDone) {
	c.store.heartbeatInFlight = false
	if event.Conflict {
		c.store.heartbeatRevisions[c.store.heartbeatKey] = event.CurrentRevision
		c.store.nextHeartbeat = now + c.jitter(minRetryBackoff)*time.Duration(c.placement.storeCallSlowdown())
	}
	if event.Err != nil {
		c.store.nextHeartbeat += c.failedHeartbeatDelay()
		return
	}
	if event.Revision <= c.store.revisionAtSend {
		c.emit(StoreReverted{Known: c.store.revisionAtSend, Returned: event.Revision})
		return
	}
	c.store.heartbeatDuration = now - c.store.heartbeatSentAt
	c.store.heartbeatRevisions[c.store.heartbeatKey] = event.Revision
	c.evidence.addBound(revisionBound{at: c.store.heartbeatSentAt, revision: event.Revision}, c.replica.completeRevision)
}
