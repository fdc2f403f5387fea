package config

import (
	"fmt"
	"time"

	"samphirehitch.example/samphirehitch/process/store"
)

// Intervals of the calls to the store.
const (
	// heartbeatInterval is the age of the evidence at which the first watcher
	// writes a heartbeat.
	heartbeatInterval = time.Second
	// heartbeatStagger is how much later each further watcher does.
	heartbeatStagger = 250 * time.Millisecond
	// watchGap is the least time between two watch calls.
	watchGap = 100 * time.Millisecond
	// retryMin and retryMax bound the wait after a failed call.
	retryMin = 100 * time.Millisecond
	retryMax = 2 * time.Second
	// watchPatience is how long a watch may hold back a heartbeat that was written
	// before it is begun anew, beyond patienceTrips times the duration of the last
	// write.
	watchPatience = 1500 * time.Millisecond
	patienceTrips = 2
	// membersWait is how long an instance that has just started waits for the
	// list of members before it reads the store by itself.
	membersWait = time.Second
)

// watch is the state of this instance's calls to the store.
type watch struct {
	// placed is set once the lists of instances are known.
	placed  bool
	started bool
	origin  time.Duration

	listing  bool
	watching bool
	// watchedAt is when the current watch began.
	watchedAt time.Duration
	next      time.Duration
	failures  int

	swapping bool
	// swapTook is the duration of the last heartbeat that was answered.
	swapTook time.Duration
	// swappedAt is when the current or last heartbeat was sent and swapKnown the
	// revision known then.
	swappedAt time.Duration
	swapKnown store.Revision
	swapKey   string
	nextSwap  time.Duration
	sequence  uint64
	// heartbeats holds the revisions of the heartbeat keys as last seen.
	heartbeats map[string]store.Revision
}

// tickStore starts the calls that are due.
func (s *Spread) tickStore(now time.Duration) {
	if !s.watch.started {
		s.watch.started, s.watch.origin = true, now
	}
	rank, watches := s.placement.watcher()
	if !s.watch.placed && now-s.watch.origin < membersWait {
		return
	}
	if !watches {
		s.stopWatch()
		return
	}
	if !s.replica.loaded {
		s.startList(now)
		return
	}
	s.restartStuckWatch(now)
	s.startWatch(now)
	s.startSwap(now, rank)
}

func (s *Spread) startList(now time.Duration) {
	if s.watch.listing || now < s.watch.next {
		return
	}
	s.watch.listing = true
	s.act(StartList{})
}

func (s *Spread) startWatch(now time.Duration) {
	if s.watch.watching || now < s.watch.next {
		return
	}
	s.watch.watching, s.watch.watchedAt = true, now
	s.watch.next = now + watchGap*time.Duration(s.placement.slowdown())
	s.act(StartWatch{After: s.replica.complete})
}

func (s *Spread) stopWatch() {
	if s.watch.watching {
		s.watch.watching = false
		s.act(StopWatch{})
	}
}

// restartStuckWatch begins the watch anew when it does not show a heartbeat that
// the store has accepted. A store that is slow to write is given more time.
func (s *Spread) restartStuckWatch(now time.Duration) {
	oldest, ok := s.evidence.oldestPending()
	patience := watchPatience + patienceTrips*s.watch.swapTook
	if ok && s.watch.watching && now-max(oldest, s.watch.watchedAt) >= patience {
		s.stopWatch()
	}
}

// startSwap writes a heartbeat when the evidence, also of this instance's own
// heartbeats on their way back, has reached an age that grows with the rank.
func (s *Spread) startSwap(now time.Duration, rank int) {
	if s.watch.swapping || now < s.watch.nextSwap {
		return
	}
	due := heartbeatInterval + time.Duration(rank)*heartbeatStagger
	if at, ok := s.evidence.contact(); ok && now-at < due {
		return
	}
	s.watch.swapping, s.watch.swappedAt, s.watch.swapKnown = true, now, s.replica.complete
	s.watch.nextSwap = now + s.jitter(heartbeatInterval*time.Duration(s.placement.slowdown()))
	s.watch.sequence++
	s.watch.swapKey = fmt.Sprintf("%s%d", HeartbeatPrefix, rank)
	value := fmt.Appendf(nil, "%s %d", s.self.ID, s.watch.sequence)
	s.act(StartSwap{Swap: store.Swap{Key: s.watch.swapKey, Expect: s.watch.heartbeats[s.watch.swapKey], Value: value}})
}

func (s *Spread) retryIn() time.Duration {
	wait := min(retryMin<<min(s.watch.failures, 10), retryMax)
	s.watch.failures++
	return s.jitter(wait) * time.Duration(s.placement.slowdown())
}

func (s *Spread) listed(now time.Duration, event Listed) {
	s.watch.listing = false
	if event.Err != nil {
		s.watch.next = now + s.retryIn()
		return
	}
	s.watch.failures = 0
	var entries []store.Entry
	for _, entry := range event.Listing.Entries {
		if isHeartbeat(entry.Key) {
			s.watch.heartbeats[entry.Key] = entry.Revision
			continue
		}
		entries = append(entries, entry)
	}
	if s.replica.loaded {
		return
	}
	s.replica.load(entries, event.Listing.Revision, event.Listing.Revision)
	s.publish()
}

func (s *Spread) watched(now time.Duration, event Watched) {
	s.watch.watching = false
	if event.Err != nil {
		s.watch.next = max(s.watch.next, now+s.retryIn())
		return
	}
	s.watch.failures = 0
	delta := Delta{After: s.replica.complete, Complete: event.Complete}
	for _, change := range event.Changes {
		if isHeartbeat(change.Key) {
			s.seeHeartbeat(change)
			continue
		}
		delta.Updates = append(delta.Updates, Update{
			Key: change.Key, Value: change.Value, Revision: change.Revision, Deleted: change.Deleted,
		})
	}
	s.adopt(delta, "")
}

// seeHeartbeat keeps the revision against which the next heartbeat is written.
func (s *Spread) seeHeartbeat(change store.Change) {
	revision := change.Revision
	if change.Deleted {
		revision = 0
	}
	s.watch.heartbeats[change.Key] = revision
}

// failedSwapWait spaces the heartbeats of many watchers that meet an outage.
func (s *Spread) failedSwapWait() time.Duration {
	rank, _ := s.placement.watcher()
	return heartbeatStagger * time.Duration(max(0, rank))
}

// swapped takes the outcome of a heartbeat. The store's state at the moment of
// sending lies below the returned revision.
func (s *Spread) swapped(now time.Duration, event Swapped) {
	s.watch.swapping = false
	if event.Conflict {
		s.watch.heartbeats[s.watch.swapKey] = event.Current
		s.watch.nextSwap = now + s.jitter(retryMin)*time.Duration(s.placement.slowdown())
	}
	if event.Err != nil {
		s.watch.nextSwap += s.failedSwapWait()
		return
	}
	if event.Revision <= s.watch.swapKnown {
		s.act(StoreReverted{Known: s.watch.swapKnown, Returned: event.Revision})
		return
	}
	s.watch.swapTook = now - s.watch.swappedAt
	s.watch.heartbeats[s.watch.swapKey] = event.Revision
	s.evidence.add(proof{at: s.watch.swappedAt, revision: event.Revision}, s.replica.complete)
}
