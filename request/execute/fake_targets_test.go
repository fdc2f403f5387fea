package execute

import (
	"bytes"
	"context"
	"net"
	"runtime"
	"sync"
	"testing"
	"time"

	"samphirehitch.example/samphirehitch/connection/caller"
	"samphirehitch.example/samphirehitch/process/clock"
	"samphirehitch.example/samphirehitch/process/group"
	"samphirehitch.example/samphirehitch/process/platform"
	"samphirehitch.example/samphirehitch/process/topology"
)

// responseFault says how a fake target falsifies the response to one Query.
type responseFault struct {
	// truncateAt is the number of bytes that are sent before the connection is
	// closed. When negative, the whole response is sent.
	truncateAt int
	// duplicate sends the response twice.
	duplicate bool
	// stall sends the response only after the other side has closed the
	// connection.
	stall bool
	// silent does the same while the target counts as reachable, like a statement
	// that runs for long.
	silent bool
	// replayConflict replaces the response by the error of a read that
	// conflicts with the replay of the log.
	replayConflict bool
}

var noFault = responseFault{truncateAt: -1}

// fakeTargets are targets that speak the PostgreSQL protocol, with injected
// faults, and share their rows. They also implement group.Watcher.
type fakeTargets struct {
	mu struct {
		sync.Mutex
		// faults are applied to the next Queries, one each, in order.
		faults []responseFault
		// scripts replace the responses to the next Queries with their texts, in order.
		scripts map[string][]script
		// received is everything that was sent to the targets.
		received []byte
		// committed counts how often each value was committed.
		committed map[string]int
		// outcomes are the outcomes of transactions by ID.
		outcomes map[uint64]platform.TransactionOutcome
		// nextID is the last transaction ID that was assigned.
		nextID uint64
		// stalled holds the targets that have stalled a response since the last
		// clearFaults. They count as unreachable.
		stalled map[topology.TargetID]bool
		// failingConfirmations is the number of calls of ConfirmCommit that fail.
		failingConfirmations int
		// onConfirm, when set, is called by each ConfirmCommit.
		onConfirm func()
		// outcomesUnknown makes ResolveTransaction fail.
		outcomesUnknown bool
	}
	members []platform.Target
	now     clock.Clock
}

// newFakeHarness starts a harness on fake targets, with f-1 as primary.
func newFakeHarness(t testing.TB, connsPerTarget int) (*harness, *fakeTargets) {
	f := &fakeTargets{now: clock.System()}
	f.mu.committed = make(map[string]int)
	f.mu.outcomes = make(map[uint64]platform.TransactionOutcome)
	f.mu.stalled = make(map[topology.TargetID]bool)
	for _, id := range []topology.TargetID{"f-1", "f-2", "f-3"} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = listener.Close() })
		f.members = append(f.members, platform.Target{ID: id, Address: listener.Addr().String()})
		go f.accept(id, listener)
	}
	h := &harness{t: t, watcher: f, connsPerTarget: connsPerTarget}
	h.start(f.now, f.members, func(c *Config, _ *caller.Config) { c.MaxRetryBackoff = time.Millisecond })
	return h, f
}

func (f *fakeTargets) accept(id topology.TargetID, listener net.Listener) {
	for {
		socket, err := listener.Accept()
		if err != nil {
			return
		}
		c := &fakeConn{targets: f, id: id, socket: socket, txStatus: 'I', settings: make(map[string]string)}
		go c.serve()
	}
}

// scheduleFaults applies the faults to the next Queries to any target.
func (f *fakeTargets) scheduleFaults(faults ...responseFault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.mu.faults = append(f.mu.faults, faults...)
}

func (f *fakeTargets) nextFault(id topology.TargetID) responseFault {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.mu.faults) == 0 {
		return noFault
	}
	fault := f.mu.faults[0]
	f.mu.faults = f.mu.faults[1:]
	if fault.stall {
		f.mu.stalled[id] = true
	}
	return fault
}

// script is a response in wire format, without the codec under test.
type script struct {
	response string
	// skipped keeps the target from running the statement.
	skipped bool
}

// addScript replaces the response to the next Query with the text.
func (f *fakeTargets) addScript(query string, s script) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.mu.scripts == nil {
		f.mu.scripts = make(map[string][]script)
	}
	f.mu.scripts[query] = append(f.mu.scripts[query], s)
}

func (f *fakeTargets) nextScript(query string) (script, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	scripts := f.mu.scripts[query]
	if len(scripts) == 0 {
		return script{}, false
	}
	f.mu.scripts[query] = scripts[1:]
	return scripts[0], true
}

// clearFaults drops the remaining faults and makes all targets reachable.
func (f *fakeTargets) clearFaults() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.mu.faults = nil
	clear(f.mu.stalled)
}

// insertCount returns how often the value was committed.
func (f *fakeTargets) insertCount(value string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.mu.committed[value]
}

// stall makes the targets count as unreachable.
func (f *fakeTargets) stall(ids ...topology.TargetID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, id := range ids {
		f.mu.stalled[id] = true
	}
}

// awaitReceived waits until the text was sent to a target.
func (f *fakeTargets) awaitReceived(text string) {
	for !f.hasReceived(text) {
		runtime.Gosched()
	}
}

// View implements group.Watcher. A stalled target counts as unreachable.
func (f *fakeTargets) View() *group.View {
	f.mu.Lock()
	defer f.mu.Unlock()
	view := &group.View{Service: testService, Primary: "f-1", Term: 1, Frontiers: []group.Frontier{{Time: f.now()}}}
	for _, target := range f.members {
		status := topology.Status{
			Target: target.ID, Role: topology.RoleReplica, Term: 1,
			Replayed: topology.Point{Term: 1},
		}
		if target.ID == "f-1" {
			status.Role = topology.RolePrimary
		}
		requestedAt := f.now()
		if f.mu.stalled[target.ID] {
			requestedAt -= time.Hour
		}
		view.Targets = append(view.Targets, group.TargetView{
			Target: target, Status: status, Known: true, Reachable: !f.mu.stalled[target.ID], StatusRequestedAt: requestedAt, SilentSince: requestedAt,
		})
	}
	return view
}

// Refresh implements group.Watcher.
func (f *fakeTargets) Refresh(context.Context) (*group.View, error) { return f.View(), nil }

// ReadFloor implements group.Watcher.
func (f *fakeTargets) ReadFloor(context.Context) (topology.Point, error) {
	return topology.Point{}, nil
}

// ConfirmCommit implements group.Watcher.
func (f *fakeTargets) ConfirmCommit(ctx context.Context, _ group.Commit) (topology.Point, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if onConfirm := f.mu.onConfirm; onConfirm != nil {
		f.mu.Unlock()
		onConfirm()
		f.mu.Lock()
	}
	if ctx.Err() != nil {
		return topology.Point{}, group.ErrNoQuorum
	}
	if f.mu.failingConfirmations > 0 {
		f.mu.failingConfirmations--
		return topology.Point{}, group.ErrNoQuorum
	}
	return topology.Point{}, nil
}

// ResolveTransaction implements group.Watcher. A transaction that has not
// committed is aborted.
func (f *fakeTargets) ResolveTransaction(_ context.Context, _ group.Commit, id uint64) (platform.TransactionOutcome, topology.Point, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.mu.outcomesUnknown {
		return platform.OutcomeUnknown, topology.Point{}, group.ErrNoQuorum
	}
	if f.mu.outcomes[id] != platform.OutcomeCommitted {
		f.mu.outcomes[id] = platform.OutcomeAborted
	}
	return f.mu.outcomes[id], topology.Point{}, nil
}

// ReportFailure implements group.Watcher.
func (f *fakeTargets) ReportFailure(topology.TargetID) {}

// hasReceived reports whether the text was ever sent to a target.
func (f *fakeTargets) hasReceived(text string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return bytes.Contains(f.mu.received, []byte(text))
}
