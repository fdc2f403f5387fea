package relay

import (
	"testing"

	"samphirehitch.example/samphirehitch/process/owner"
	"samphirehitch.example/samphirehitch/process/statement"
	"samphirehitch.example/samphirehitch/process/topology"
)

// Others forward operations to an instance that has just started before it knows that it is an
// owner. They waited for its only connection and were refused: 104 to 172 in a day with a roll.
func TestInstanceThatDoesNotKnowOfItsOwnershipDeclines(t *testing.T) {
	for _, kind := range []statement.Kind{statement.Write, statement.Begin} {
		f := newFleet(t)
		first, other := f.owners()
		f.network.relays[first].SetRouting(owner.Assign([]topology.ServiceID{"s"}, []owner.Instance{{ID: other, CPUShare: 1}}), nil, nil)
		session := f.newSession()
		f.mustRun(session, kind, statement.OK)
		f.mustRun(session, statement.Write, statement.OK)
		if got := f.targets[first].received(); len(got) != 0 {
			t.Errorf("%s: the new owner's target received %v", kind, got)
		}
		if got := f.targets[other].received(); len(got) != 2 {
			t.Errorf("%s: the other owner's target received %v", kind, got)
		}
	}
}
