package execute

import (
	"bytes"
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"samphirehitch.example/samphirehitch/connection/caller"
	"samphirehitch.example/samphirehitch/process/clock"
	"samphirehitch.example/samphirehitch/process/group"
	"samphirehitch.example/samphirehitch/process/platform"
	"samphirehitch.example/samphirehitch/process/topology"
)

// fault is how a fake target spoils the answer to one request.
type fault struct {
	// cut is how many bytes of the answer are sent before the connection is
	// closed; negative sends all.
	cut int
	// twice sends the answer a second time.
	twice bool
	// late keeps the answer until the connection is given up.
	late bool
	// conflict answers that the replay of the log comes first.
	conflict bool
}

var noFault = fault{cut: -1}

// fakeTargets are scripted targets that share a set of rows.
type fakeTargets struct {
	mu struct {
		sync.Mutex
		// faults are taken by the next requests, first first.
		faults []fault
		// received holds everything that callers of the targets have sent.
		received []byte
		// committed counts how often each value was inserted.
		committed map[string]int
		outcomes  map[uint64]platform.TransactionOutcome
		nextID    uint64
		stalled   map[topology.TargetID]bool
		// unconfirmed is how many of the next commits find no evidence.
		unconfirmed int
		// confirming, when set, is called with each confirmation of a commit.
		confirming func()
		// unresolved is set while no outcome can be learned.
		unresolved bool
	}
	targets []platform.Target
	now     clock.Clock
}

// newFakeRig is newRig on scripted targets; f-1 is the primary.
func newFakeRig(t testing.TB, limit int) (*rig, *fakeTargets) {
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
		f.targets = append(f.targets, platform.Target{ID: id, Address: listener.Addr().String()})
		go f.accept(id, listener)
	}
	r := &rig{t: t, watcher: f, limit: limit}
	r.start(f.now, f.targets, func(c *Config, _ *caller.Config) { c.RetryPause = time.Millisecond })
	return r, f
}

func (f *fakeTargets) accept(id topology.TargetID, listener net.Listener) {
	for {
		socket, err := listener.Accept()
		if err != nil {
			return
		}
		c := &fakeConn{targets: f, id: id, socket: socket, status: 'I', settings: make(map[string]string)}
		go c.serve()
	}
}

func (f *fakeTargets) spoil(faults ...fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.mu.faults = append(f.mu.faults, faults...)
}

func (f *fakeTargets) takeFault(id topology.TargetID) fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.mu.faults) == 0 {
		return noFault
	}
	taken := f.mu.faults[0]
	f.mu.faults = f.mu.faults[1:]
	if taken.late {
		f.mu.stalled[id] = true
	}
	return taken
}

// heal drops the faults that were not taken.
func (f *fakeTargets) heal() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.mu.faults = nil
	clear(f.mu.stalled)
}

func (f *fakeTargets) count(value string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.mu.committed[value]
}

// View implements group.Watcher. A stalled target counts as unreachable.
func (f *fakeTargets) View() *group.View {
	f.mu.Lock()
	defer f.mu.Unlock()
	view := &group.View{Service: testService, Primary: "f-1", Term: 1, Frontiers: []group.Frontier{{Time: f.now()}}}
	for _, target := range f.targets {
		status := topology.Status{
			Target: target.ID, Role: topology.RoleReplica, Term: 1,
			Replayed: topology.Point{Term: 1},
		}
		if target.ID == "f-1" {
			status.Role = topology.RolePrimary
		}
		answered := f.now()
		if f.mu.stalled[target.ID] {
			answered -= time.Hour
		}
		view.Targets = append(view.Targets, group.TargetView{
			Target: target, Status: status, Known: true, Reachable: !f.mu.stalled[target.ID], Answered: answered,
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
	if confirming := f.mu.confirming; confirming != nil {
		f.mu.Unlock()
		confirming()
		f.mu.Lock()
	}
	if ctx.Err() != nil {
		return topology.Point{}, group.ErrNoEvidence
	}
	if f.mu.unconfirmed > 0 {
		f.mu.unconfirmed--
		return topology.Point{}, group.ErrNoEvidence
	}
	return topology.Point{}, nil
}

// ResolveTransaction implements group.Watcher. It knows nothing of commits that
// found no evidence.
func (f *fakeTargets) ResolveTransaction(_ context.Context, _ group.Commit, id uint64) (platform.TransactionOutcome, topology.Point, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.mu.unresolved {
		return platform.OutcomeUnknown, topology.Point{}, group.ErrNoEvidence
	}
	if f.mu.outcomes[id] != platform.OutcomeCommitted {
		f.mu.outcomes[id] = platform.OutcomeAborted
	}
	return f.mu.outcomes[id], topology.Point{}, nil
}

// Suspect implements group.Watcher.
func (f *fakeTargets) Suspect(topology.TargetID) {}

// sent reports whether the targets were ever sent the text.
func (f *fakeTargets) sent(text string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return bytes.Contains(f.mu.received, []byte(text))
}
