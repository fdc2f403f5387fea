package relay

import (
	"runtime"
	"slices"
	"strconv"
	"testing"

	"samphirehitch.example/samphirehitch/connection/client"
	"samphirehitch.example/samphirehitch/process/owner"
	"samphirehitch.example/samphirehitch/process/statement"
	"samphirehitch.example/samphirehitch/process/topology"
	"samphirehitch.example/samphirehitch/request/engine"
)

// asBackupOwner returns an assignment in which the instance is a backup owner of the service.
func asBackupOwner(id topology.InstanceID) owner.Assignment {
	for i := 0; ; i++ {
		others := []owner.Instance{{ID: id, CPUShare: 1}, {ID: topology.InstanceID("x" + strconv.Itoa(i)), CPUShare: 1}, {ID: "y", CPUShare: 1}}
		if a := owner.Assign([]topology.ServiceID{"s"}, others); slices.Contains(a.BackupOwners("s"), id) {
			return a
		}
	}
}

func (s *server) requestsRunning() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running
}

// holdConnection has a transaction of a session hold the only connection of an instance.
func (f *fleet) holdConnection(session *engine.Session, id topology.InstanceID) {
	f.mustRun(session, statement.Begin, statement.OK)
	f.mustRun(session, statement.Write, statement.OK)
	f.network.relays[id].Engine.SetShares(map[topology.ServiceID]int{"s": 1}, nil)
}

// An instance that others still took for an owner queued their operations behind the transactions
// that held its connections as a backup owner, until their timeout.
func TestFormerOwnerWithoutAFreeConnectionDeclines(t *testing.T) {
	for _, kind := range []statement.Kind{statement.Write, statement.Begin} {
		f := newFleet(t)
		first, other := f.owners()
		f.holdConnection(f.newSession(), first)
		f.network.relays[first].SetRouting(asBackupOwner(first), nil, nil)
		session := f.newSession()
		f.mustRun(session, kind, statement.OK)
		f.mustRun(session, statement.Write, statement.OK)
		if got := f.targets[other].received(); len(got) != 2 {
			t.Errorf("%s: the other owner's target received %v", kind, got)
		}
	}
}

// A former owner that no other instance can replace queues the operation all the same.
func TestFormerOwnerWithoutAFreeConnectionIsUsedAsTheLastInstance(t *testing.T) {
	f := newFleet(t)
	first, other := f.owners()
	f.setFault(other, f.network.disconnected)
	holder := f.newSession()
	f.holdConnection(holder, first)
	f.network.relays[first].SetRouting(asBackupOwner(first), nil, nil)
	session := f.newSession()
	response := make(chan statement.Response, 1)
	go func() { response <- session.Run(statement.Statement{Kind: statement.Write, ID: "1", Text: "t"}) }()
	for f.network.relays[first].server.requestsRunning() == 0 {
		runtime.Gosched()
	}
	f.mustRun(holder, statement.Commit, statement.OK)
	if got := <-response; got.Code != statement.OK {
		t.Errorf("%s (%s), want ok", got.Code, got.Detail)
	}
}

// A backup owner ran its callers' operations itself, and waited for a connection, while another
// backup owner had one.
func TestBackupOwnerWithoutAFreeConnectionForwardsToAnother(t *testing.T) {
	f := newFleet(t)
	f.targets["b"] = &recordingTarget{}
	f.start("b")
	instances := []owner.Instance{{ID: "h1", CPUShare: 1}, {ID: "h2", CPUShare: 1}, {ID: "e", CPUShare: 1}, {ID: "b", CPUShare: 1}}
	assignment := owner.Assign([]topology.ServiceID{"s"}, instances)
	for _, r := range f.network.relays {
		r.SetRouting(assignment, nil, nil)
	}
	for _, id := range assignment.Owners("s") {
		f.setFault(id, f.network.disconnected)
	}
	backups := assignment.BackupOwners("s")
	home := f.network.relays[backups[0]]
	newSession := func(number uint64) *engine.Session {
		return home.Engine.NewSession(client.NewSession(number, "d", "secret"), home)
	}
	f.holdConnection(newSession(1), backups[0])
	f.mustRun(newSession(2), statement.Write, statement.OK)
	if got := f.targets[backups[1]].received(); len(got) != 1 {
		t.Errorf("the other backup owner's target received %v", got)
	}
}
