package group

import (
	"slices"
	"sync"
	"time"

	"samphirehitch.example/samphirehitch/process/topology"
)

// Faults selects the failures that are injected into a member. The zero value is
// a healthy member.
type Faults struct {
	// CutFromCallers delays every message and every response on the data address
	// until the fault is cleared. None is lost.
	CutFromCallers bool `json:"cut_from_callers,omitempty"`
	// CutFromControl delays requests and responses on the control address in the
	// same way. Replication between processes, which uses that address too, goes
	// on.
	CutFromControl bool `json:"cut_from_control,omitempty"`
	// CutFromMembers drops replication from and to every other member.
	CutFromMembers bool `json:"cut_from_members,omitempty"`
	// CutFrom drops replication from and to these members.
	CutFrom []topology.TargetID `json:"cut_from,omitempty"`
	// Frozen stops the member as SIGSTOP stops a process: connections stay open,
	// and callers, control requests, replication and replay wait.
	Frozen bool `json:"frozen,omitempty"`
	// ReceiveLagMillis is the age that a record has when this member receives it
	// from the primary.
	ReceiveLagMillis int `json:"receive_lag_millis,omitempty"`
	// ReplayLagMillis is the time from receiving a record to replaying it, when
	// reads see it.
	ReplayLagMillis int `json:"replay_lag_millis,omitempty"`
	// DropCommitAnswers is the number of coming commits after which the member
	// closes the connection instead of responding. The commits take effect, but
	// their callers cannot know.
	DropCommitAnswers int `json:"drop_commit_answers,omitempty"`
	// Leaving makes the member report in its status that it is being drained.
	Leaving bool `json:"leaving,omitempty"`
}

// cutsReplicationWith reports whether replication between this member and another
// one is dropped. The sender and the receiver both check their own faults.
func (f Faults) cutsReplicationWith(member topology.TargetID) bool {
	return f.CutFromMembers || slices.Contains(f.CutFrom, member)
}

func (f Faults) receiveLag() time.Duration {
	return time.Duration(f.ReceiveLagMillis) * time.Millisecond
}

// SetFaults replaces the member's faults. They outlast Kill and Restart.
func (m *Member) SetFaults(faults Faults) {
	m.mu.Lock()
	m.mu.faults = faults
	m.gates.callerTraffic.setClosed(faults.CutFromCallers)
	m.gates.controlTraffic.setClosed(faults.CutFromControl)
	m.gates.allTraffic.setClosed(faults.Frozen)
	m.mu.Unlock()
	m.database.SetLeaving(faults.Leaving)
	m.database.SetReplayLag(time.Duration(faults.ReplayLagMillis) * time.Millisecond)
	eventFaultsChanged.Log(m.cfg.Log, "target", m.target.ID, "faults", faults)
}

// Faults returns the faults that are injected now. DropCommitAnswers counts down
// as commits use it up.
func (m *Member) Faults() Faults {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.mu.faults
}

// gates delay a member's traffic without losing it. Each is closed by one fault.
type gates struct {
	// callerTraffic is closed by Faults.CutFromCallers.
	callerTraffic *gate
	// controlTraffic is closed by Faults.CutFromControl.
	controlTraffic *gate
	// allTraffic is closed by Faults.Frozen.
	allTraffic *gate
}

func newGates() gates {
	return gates{callerTraffic: newGate(), controlTraffic: newGate(), allTraffic: newGate()}
}

// gate blocks goroutines while it is closed. A new gate is open.
type gate struct {
	mu struct {
		sync.Mutex
		closed bool
		// opened is a closed channel while the gate is open. It is replaced each
		// time that the gate closes.
		opened chan struct{}
	}
}

func newGate() *gate {
	g := &gate{}
	g.mu.opened = make(chan struct{})
	close(g.mu.opened)
	return g
}

func (g *gate) setClosed(closed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if closed == g.mu.closed {
		return
	}
	g.mu.closed = closed
	if closed {
		g.mu.opened = make(chan struct{})
		return
	}
	close(g.mu.opened)
}

// wait blocks until the gate is open. It returns errUnreachable when stopped is
// closed, also when the gate is open.
func (g *gate) wait(stopped <-chan struct{}) error { return g.waitOrCancel(stopped, nil) }

// waitOrCancel is like wait, and also returns errUnreachable when canceled is
// closed before the gate opens.
func (g *gate) waitOrCancel(stopped, canceled <-chan struct{}) error {
	g.mu.Lock()
	opened := g.mu.opened
	g.mu.Unlock()
	select {
	case <-stopped:
		return errUnreachable
	default:
	}
	select {
	case <-opened:
		return nil
	case <-stopped:
		return errUnreachable
	case <-canceled:
		return errUnreachable
	}
}
