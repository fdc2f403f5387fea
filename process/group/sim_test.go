package group

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"samphirehitch.example/samphirehitch/process/group/grouptest"
	"samphirehitch.example/samphirehitch/process/group/promotion"
	"samphirehitch.example/samphirehitch/process/topology"
)

// event is a step of the simulation.
type simEvent struct {
	at    time.Duration
	order int
	run   func()
}

type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// sim runs the coordinators of several daemons against one group, in virtual
// time and in one goroutine, so that a seed gives one run.
type sim struct {
	now     time.Duration
	queue   simQueue
	order   int
	random  *rand.Rand
	group   *grouptest.Group
	daemons []*simDaemon
	oracle  oracle
	// cut holds severed links, each in one direction.
	cut map[string]bool
	// lossy and slow are chances, in percent, that a message is lost, or takes
	// up to slowDelay.
	lossy, slow, doubled int
	storeDown            bool
	stopped              map[topology.TargetID]bool
	// claim is the store's entry.
	claimHolder int
	claimUntil  time.Duration
	labels      int
	rounds      RoundsConfig
	promotion   promotion.Config
}

const (
	simDaemons   = 4
	simTimeout   = 200 * time.Millisecond
	simSlowDelay = 1500 * time.Millisecond
	storeName    = "store"
)

func newSim(seed uint64) *sim {
	s := &sim{
		random:      rand.New(rand.NewPCG(seed, 7)),
		group:       grouptest.New("a", "b", "c"),
		cut:         make(map[string]bool),
		stopped:     make(map[topology.TargetID]bool),
		claimHolder: -1,
		rounds:      DefaultRoundsConfig(),
		promotion:   promotion.DefaultConfig("", ""),
	}
	s.oracle.sim = s
	s.oracle.promotedAt = make(map[topology.Term]time.Duration)
	return s
}

func (s *sim) start() {
	for i := range simDaemons {
		s.daemons = append(s.daemons, newSimDaemon(s, i))
	}
	s.after(time.Millisecond, s.replicate)
}

func (s *sim) after(d time.Duration, run func()) {
	s.order++
	heap.Push(&s.queue, simEvent{at: s.now + d, order: s.order, run: run})
}

// advance runs the events of the next d.
func (s *sim) advance(d time.Duration) {
	end := s.now + d
	for len(s.queue) > 0 && s.queue[0].at <= end {
		event := heap.Pop(&s.queue).(simEvent)
		s.now = event.at
		event.run()
	}
	s.now = end
}

func (s *sim) chance(percent int) bool { return s.random.IntN(100) < percent }

// message carries run over a link, or loses, delays or doubles it.
func (s *sim) message(from, to string, run func()) {
	copies := 1
	if s.chance(s.doubled) {
		copies = 2
	}
	for range copies {
		if s.cut[from+">"+to] || s.chance(s.lossy) {
			continue
		}
		delay := 500*time.Microsecond + time.Duration(s.random.Int64N(int64(2*time.Millisecond)))
		if s.chance(s.slow) {
			delay += time.Duration(s.random.Int64N(int64(simSlowDelay)))
		}
		s.after(delay, func() {
			if !s.cut[from+">"+to] {
				run()
			}
		})
	}
}

// call runs a request on a member and hands its answer to done, or false once
// the timeout has passed. The request may take effect later than that.
func (s *sim) call(d *simDaemon, id topology.TargetID, serve func(m *grouptest.Member) func(), lost func()) {
	generation, open := d.generation, true
	finish := func(run func()) {
		d.deliver(func() {
			if open && d.generation == generation {
				open = false
				run()
			}
		})
	}
	s.message(d.name(), string(id), func() {
		if s.stopped[id] {
			return
		}
		answer := serve(s.group.Member(id))
		s.message(string(id), d.name(), func() { finish(answer) })
	})
	s.after(simTimeout, func() { finish(lost) })
}

// replicate streams a little from every primary, and replays.
func (s *sim) replicate() {
	for _, from := range s.group.Members {
		for _, to := range s.group.Members {
			severed := s.cut[string(from.ID)+">"+string(to.ID)] || s.stopped[from.ID] || s.stopped[to.ID]
			if !severed && s.chance(60) {
				s.group.Replicate(from, to, 1+s.random.IntN(3))
			}
		}
		if s.chance(40) && !s.stopped[from.ID] {
			from.Replay(1 + s.random.IntN(3))
		}
	}
	s.after(time.Duration(1+s.random.IntN(8))*time.Millisecond, s.replicate)
}
