package execute

import (
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"samphirehitch.example/samphirehitch/connection/caller"
	"samphirehitch.example/samphirehitch/connection/session"
	"samphirehitch.example/samphirehitch/process/topology"
	"samphirehitch.example/samphirehitch/request/retry"
)

// Executor runs the requests of all sessions of an instance. It is safe for
// concurrent use.
type Executor struct {
	config Config
	deps   Deps
	loads  loads
	writes learnedWrites
	turn   atomic.Uint64
	budget *retry.Budget
}

// New returns an executor.
func New(config Config, deps Deps) *Executor {
	return &Executor{config: config.withDefaults(), deps: deps, budget: retry.NewBudget(retryShare, retryBurst)}
}

// Open implements caller.Handler.
func (x *Executor) Open(s *session.Session) caller.Conversation {
	return &conversation{executor: x, session: s, status: statusIdle}
}

// loads counts requests in flight for each target.
type loads struct {
	counters sync.Map // topology.TargetID to *atomic.Int64
}

// InFlight implements route.Loads.
func (l *loads) InFlight(target topology.TargetID) int {
	counter, ok := l.counters.Load(target)
	if !ok {
		return 0
	}
	return int(counter.(*atomic.Int64).Load())
}

// add changes the count of a target.
func (l *loads) add(target topology.TargetID, change int64) {
	counter, ok := l.counters.Load(target)
	if !ok {
		counter, _ = l.counters.LoadOrStore(target, new(atomic.Int64))
	}
	counter.(*atomic.Int64).Add(change)
}

// Bounds of learnedWrites.
const (
	learnedShards   = 16
	learnedPerShard = 1024
)

// learnedWrites remembers texts that looked like reads and that a replica
// refused as writes. A text that is remembered by mistake runs on the primary.
type learnedWrites struct {
	shards [learnedShards]struct {
		sync.Mutex
		texts map[uint64]struct{}
	}
}

// add remembers a text. A full shard is emptied first.
func (l *learnedWrites) add(text string) {
	hash := xxhash.Sum64String(text)
	shard := &l.shards[hash%learnedShards]
	shard.Lock()
	defer shard.Unlock()
	if shard.texts == nil || len(shard.texts) >= learnedPerShard {
		shard.texts = make(map[uint64]struct{})
	}
	shard.texts[hash] = struct{}{}
}

// has reports whether the text is remembered.
func (l *learnedWrites) has(text string) bool {
	hash := xxhash.Sum64String(text)
	shard := &l.shards[hash%learnedShards]
	shard.Lock()
	defer shard.Unlock()
	_, ok := shard.texts[hash]
	return ok
}
