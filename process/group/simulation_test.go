package group

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"samphirehitch.example/samphirehitch/process/group/grouptest"
	"samphirehitch.example/samphirehitch/process/group/promotion"
	"samphirehitch.example/samphirehitch/process/topology"
)

// simEvent is a scheduled event. Events of the same time run in the order of their
// sequence.
type simEvent struct {
	at       time.Duration
	sequence int
	run      func()
}

// simQueue is a heap of events, the next one first.
type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// simulation runs the coordinators of several instances against one group, in virtual
// time and in one goroutine, so that a seed always gives the same run.
type simulation struct {
	now          time.Duration
	queue        simQueue
	lastSequence int
	random       *rand.Rand
	group        *grouptest.Group
	instances    []*simInstance
	oracle       oracle
	// cutLinks holds the interrupted links, each in one direction, as "from>to".
	cutLinks map[string]bool
	// The chances, in percent, that a message is lost, takes up to simMaxSlowDelay
	// longer, or is delivered twice.
	lossPercent, slowPercent, duplicatePercent int
	storeUnavailable                           bool
	stoppedMembers                             map[topology.TargetID]bool
	// claimHolder is the index of the instance that holds the claim until claimUntil,
	// or -1.
	claimHolder     int
	claimUntil      time.Duration
	lastLabel       int
	roundsConfig    RoundsConfig
	promotionConfig promotion.Config
}

const (
	simInstances      = 4
	simRequestTimeout = 200 * time.Millisecond
	simMaxSlowDelay   = 1500 * time.Millisecond
	storeName         = "store"
)

func newSimulation(seed uint64) *simulation {
	s := &simulation{
		random:          rand.New(rand.NewPCG(seed, 7)),
		group:           grouptest.New("a", "b", "c"),
		cutLinks:        make(map[string]bool),
		stoppedMembers:  make(map[topology.TargetID]bool),
		claimHolder:     -1,
		roundsConfig:    DefaultRoundsConfig(),
		promotionConfig: promotion.DefaultConfig("", ""),
	}
	s.oracle.sim = s
	s.oracle.promotedAt = make(map[topology.Term]time.Duration)
	return s
}

func (s *simulation) start() {
	for i := range simInstances {
		s.instances = append(s.instances, newSimInstance(s, i))
	}
	s.schedule(time.Millisecond, s.replicate)
}

// schedule runs a function after the delay.
func (s *simulation) schedule(delay time.Duration, run func()) {
	s.lastSequence++
	heap.Push(&s.queue, simEvent{at: s.now + delay, sequence: s.lastSequence, run: run})
}

// advance runs the events that are due within the duration.
func (s *simulation) advance(duration time.Duration) {
	end := s.now + duration
	for len(s.queue) > 0 && s.queue[0].at <= end {
		event := heap.Pop(&s.queue).(simEvent)
		s.now = event.at
		event.run()
	}
	s.now = end
}

func (s *simulation) chance(percent int) bool { return s.random.IntN(100) < percent }

// send runs a function after the latency of the link, unless the message is lost. The
// message may also be delayed or duplicated.
func (s *simulation) send(from, to string, run func()) {
	copies := 1
	if s.chance(s.duplicatePercent) {
		copies = 2
	}
	for range copies {
		if s.cutLinks[from+">"+to] || s.chance(s.lossPercent) {
			continue
		}
		delay := 500*time.Microsecond + time.Duration(s.random.Int64N(int64(2*time.Millisecond)))
		if s.chance(s.slowPercent) {
			delay += time.Duration(s.random.Int64N(int64(simMaxSlowDelay)))
		}
		s.schedule(delay, func() {
			if !s.cutLinks[from+">"+to] {
				run()
			}
		})
	}
}

// call sends a request to a member. serve runs on the member and returns the function
// that processes the response on the instance. If the timeout passes first, expired
// runs instead; the request may still take effect later.
func (s *simulation) call(instance *simInstance, id topology.TargetID, serve func(m *grouptest.Member) func(), expired func()) {
	generation, open := instance.generation, true
	finish := func(run func()) {
		instance.deliver(func() {
			if open && instance.generation == generation {
				open = false
				run()
			}
		})
	}
	s.send(instance.name(), string(id), func() {
		if s.stoppedMembers[id] {
			return
		}
		respond := serve(s.group.Member(id))
		s.send(string(id), instance.name(), func() { finish(respond) })
	})
	s.schedule(simRequestTimeout, func() { finish(expired) })
}

// replicate streams a few entries from every primary, lets members replay entries, and
// schedules itself again.
func (s *simulation) replicate() {
	for _, from := range s.group.Members {
		for _, to := range s.group.Members {
			cut := s.cutLinks[string(from.ID)+">"+string(to.ID)] || s.stoppedMembers[from.ID] || s.stoppedMembers[to.ID]
			if !cut && s.chance(60) {
				s.group.Replicate(from, to, 1+s.random.IntN(3))
			}
		}
		if s.chance(40) && !s.stoppedMembers[from.ID] {
			from.Replay(1 + s.random.IntN(3))
		}
	}
	s.schedule(time.Duration(1+s.random.IntN(8))*time.Millisecond, s.replicate)
}
