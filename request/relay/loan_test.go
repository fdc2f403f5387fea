package relay

import (
	"testing"

	"samphirehitch.example/samphirehitch/process/topology"
	"samphirehitch.example/samphirehitch/request/engine"
	"samphirehitch.example/samphirehitch/version/catalog"
)

// setRateLimit gives an instance all of a customer's rate limit of 4/s with a burst of
// 12.
func (f *fleet) setRateLimit(id topology.InstanceID) {
	eng := f.network.relays[id].Engine
	newer := *eng.Catalog()
	newer.Version = 2
	newer.Customers = map[topology.CustomerID]catalog.Customer{"k": {ID: "k", Rate: 4, Burst: 12}}
	eng.SetCatalog(&newer)
	eng.SetShares(map[topology.ServiceID]int{"s": 4}, map[topology.CustomerID]engine.RateShare{"k": {Fraction: 1}})
}

func TestTokensAreBorrowedFromAnotherInstance(t *testing.T) {
	f := newFleet(t)
	first, other := f.owners()
	f.setRateLimit(first)
	e := f.network.relays["e"]
	admitted := 0
	for e.BorrowToken([]topology.InstanceID{other, first}, "k") {
		if admitted++; admitted > 16 {
			t.Fatal("more tokens were lent than the limit allows")
		}
	}
	if admitted == 0 {
		t.Fatal("no token was lent")
	}
}

func TestLoanRequestTimesOut(t *testing.T) {
	f := newFleet(t)
	first, _ := f.owners()
	f.setRateLimit(first)
	f.setFault(first, f.network.partitioned)
	e := f.network.relays["e"]
	if e.BorrowToken([]topology.InstanceID{first}, "k") {
		t.Fatal("a loan was granted without a response")
	}
	if len(e.pendingLoans) != 0 {
		t.Fatalf("%d loan requests are still pending", len(e.pendingLoans))
	}
}
