// Package execute runs the requests of PostgreSQL sessions with transaction
// pooling. A request is one batch of messages: a Query, or extended query
// messages up to a Sync or Flush. For each batch the package checks the
// session's access and the customer's rate, determines the read floor, chooses
// a target, and forwards the messages and the response.
//
// A write outside of a transaction runs in a transaction of its own whose ID is
// known before COMMIT is sent. A commit is acknowledged only after the group
// has confirmed it. When the response to COMMIT is lost, the outcome is
// resolved by the transaction ID.
//
// From the first statement of an explicit transaction to its end, the session
// is pinned to one target connection.
//
// The package implements the Handler of package connection/caller.
package execute

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"samphirehitch.example/samphirehitch/connection/caller"
	"samphirehitch.example/samphirehitch/connection/session"
	"samphirehitch.example/samphirehitch/process/topology"
	"samphirehitch.example/samphirehitch/request/retry"
)

// Executor runs the requests of all sessions of an instance. It holds what the
// sessions share. It is safe for concurrent use.
type Executor struct {
	config        Config
	deps          Deps
	inFlight      inFlightCounts
	misclassified misclassifiedReads
	// routeCounter rotates the choice among equally suitable targets and seeds
	// the jitter of retries.
	routeCounter atomic.Uint64
	retryBudget  *retry.Budget
}

// New returns an executor.
func New(config Config, deps Deps) *Executor {
	return &Executor{config: config.withDefaults(), deps: deps, retryBudget: retry.NewBudget(retryBudgetFraction, retryBudgetBurst)}
}

// NewSession returns the executor of a session that has just logged in. It
// implements caller.Handler.
func (x *Executor) NewSession(s *session.Session) caller.Session {
	e := &sessionExecutor{executor: x, session: s, status: statusIdle}
	e.commitContext, e.abandon = context.WithCancel(context.Background())
	return e
}

// inFlightCounts counts this instance's requests in flight on each target.
type inFlightCounts struct {
	byTarget sync.Map // topology.TargetID to *atomic.Int64
}

// InFlight implements route.Loads.
func (c *inFlightCounts) InFlight(target topology.TargetID) int {
	counter, ok := c.byTarget.Load(target)
	if !ok {
		return 0
	}
	return int(counter.(*atomic.Int64).Load())
}

// add changes the count of a target by delta.
func (c *inFlightCounts) add(target topology.TargetID, delta int64) {
	counter, ok := c.byTarget.Load(target)
	if !ok {
		counter, _ = c.byTarget.LoadOrStore(target, new(atomic.Int64))
	}
	counter.(*atomic.Int64).Add(delta)
}

// Size of misclassifiedReads.
const (
	misclassifiedReadShards    = 16
	misclassifiedReadsPerShard = 1024
)

// misclassifiedReads is a bounded set of statement texts that were classified
// as reads and that a target refused as writes. It stores hashes: a text whose
// hash collides with a stored one runs on the primary, where reads work as
// well. The shards have a lock each.
type misclassifiedReads struct {
	shards [misclassifiedReadShards]struct {
		sync.Mutex
		hashes map[uint64]struct{}
	}
}

// insert adds a text. A full shard is emptied first.
func (m *misclassifiedReads) insert(text string) {
	hash := xxhash.Sum64String(text)
	shard := &m.shards[hash%misclassifiedReadShards]
	shard.Lock()
	defer shard.Unlock()
	if shard.hashes == nil || len(shard.hashes) >= misclassifiedReadsPerShard {
		shard.hashes = make(map[uint64]struct{})
	}
	shard.hashes[hash] = struct{}{}
}

// contains reports whether the text, or one with the same hash, was inserted.
func (m *misclassifiedReads) contains(text string) bool {
	hash := xxhash.Sum64String(text)
	shard := &m.shards[hash%misclassifiedReadShards]
	shard.Lock()
	defer shard.Unlock()
	_, ok := shard.hashes[hash]
	return ok
}
