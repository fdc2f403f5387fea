package relay

import (
	"testing"

	"samphirehitch.example/samphirehitch/process/topology"
	"samphirehitch.example/samphirehitch/version/catalog"
)

// limited gives an instance the whole of a limit of a few operations.
func (f *fleet) limited(id topology.InstanceID) {
	engine := f.network.relays[id].Engine
	newer := *engine.Catalog()
	newer.Version = 2
	newer.Customers = map[topology.CustomerID]catalog.Customer{"k": {ID: "k", Rate: 4, Burst: 12}}
	engine.SetCatalog(&newer)
	engine.SetShares(map[topology.ServiceID]int{"s": 4}, map[topology.CustomerID]float64{"k": 1})
}

func TestOperationsAreAdmittedOnAnotherInstancesPart(t *testing.T) {
	f := newFleet(t)
	first, other := f.homes()
	f.limited(first)
	e := f.network.relays["e"]
	admitted := 0
	for e.Borrow([]topology.InstanceID{other, first}, "k") {
		if admitted++; admitted > 16 {
			t.Fatal("more was lent than the limit allows")
		}
	}
	if admitted == 0 {
		t.Fatal("nothing was lent")
	}
}

func TestSilentLenderIsNotAwaitedForLong(t *testing.T) {
	f := newFleet(t)
	first, _ := f.homes()
	f.limited(first)
	f.lose(first, f.network.cut)
	e := f.network.relays["e"]
	if e.Borrow([]topology.InstanceID{first}, "k") {
		t.Fatal("an answer that did not come counts as a loan")
	}
	if len(e.loans) != 0 {
		t.Fatalf("%d loans are still awaited", len(e.loans))
	}
}
