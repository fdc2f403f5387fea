package group

import (
	"slices"
	"sync"
	"time"

	"samphirehitch.example/samphirehitch/process/topology"
)

// Faults is how a member misbehaves. The zero value is a healthy member.
type Faults struct {
	// CutFromCallers holds back every answer and every message on the data
	// address. Messages are handled once the cut ends.
	CutFromCallers bool `json:"cut_from_callers,omitempty"`
	// CutFromControl does the same on the control address.
	CutFromControl bool `json:"cut_from_control,omitempty"`
	// CutFromMembers loses the streams from and to every other member.
	CutFromMembers bool `json:"cut_from_members,omitempty"`
	// CutFrom loses the streams from and to these members.
	CutFrom []topology.TargetID `json:"cut_from,omitempty"`
	// Frozen holds everything as a paused process does.
	Frozen bool `json:"frozen,omitempty"`
	// ReceiveLagMillis is how old a record is when it arrives.
	ReceiveLagMillis int `json:"receive_lag_millis,omitempty"`
	// ReplayLagMillis is how long reads don't see a record that has arrived.
	ReplayLagMillis int `json:"replay_lag_millis,omitempty"`
	// DropCommitAnswers is how many of the next commits take effect and lose
	// their answer with the connection.
	DropCommitAnswers int `json:"drop_commit_answers,omitempty"`
	// Leaving makes the member report that it is being drained.
	Leaving bool `json:"leaving,omitempty"`
}

func (f Faults) cuts(other topology.TargetID) bool {
	return f.CutFromMembers || slices.Contains(f.CutFrom, other)
}

func (f Faults) receiveLag() time.Duration {
	return time.Duration(f.ReceiveLagMillis) * time.Millisecond
}

// SetFaults replaces the faults.
func (m *Member) SetFaults(faults Faults) {
	m.mu.Lock()
	m.mu.faults = faults
	m.gates.callers.set(faults.CutFromCallers)
	m.gates.control.set(faults.CutFromControl)
	m.gates.frozen.set(faults.Frozen)
	m.mu.Unlock()
	m.database.SetLeaving(faults.Leaving)
	m.database.SetReplayLag(time.Duration(faults.ReplayLagMillis) * time.Millisecond)
	eventFaults.Log(m.cfg.Log, "target", m.target.ID, "faults", faults)
}

// Faults returns the faults in force.
func (m *Member) Faults() Faults {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.mu.faults
}

// gates hold traffic back without losing it.
type gates struct {
	callers *gate
	control *gate
	frozen  *gate
}

func newGates() gates { return gates{callers: newGate(), control: newGate(), frozen: newGate()} }

// gate is open or shut.
type gate struct {
	mu struct {
		sync.Mutex
		shut bool
		// opened is closed while the gate is open.
		opened chan struct{}
	}
}

func newGate() *gate {
	g := &gate{}
	g.mu.opened = make(chan struct{})
	close(g.mu.opened)
	return g
}

func (g *gate) set(shut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if shut == g.mu.shut {
		return
	}
	g.mu.shut = shut
	if shut {
		g.mu.opened = make(chan struct{})
		return
	}
	close(g.mu.opened)
}

// pass waits until the gate is open. It returns errStopped once stopped is
// closed.
func (g *gate) pass(stopped <-chan struct{}) error { return g.passUnless(stopped, nil) }

// passUnless is pass for a caller who may give up.
func (g *gate) passUnless(stopped, givenUp <-chan struct{}) error {
	g.mu.Lock()
	opened := g.mu.opened
	g.mu.Unlock()
	select {
	case <-stopped:
		return errStopped
	default:
	}
	select {
	case <-opened:
		return nil
	case <-stopped:
		return errStopped
	case <-givenUp:
		return errStopped
	}
}
