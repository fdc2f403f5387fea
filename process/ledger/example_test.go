package ledger_test

import (
	"fmt"
	"time"

	"samphirehitch.example/samphirehitch/process/ledger"
	"samphirehitch.example/samphirehitch/process/topology"
)

// Two instances hold one slot each. All requests of a customer reach one of
// them, which borrows tokens from the other's part of the rate.
func ExampleRateShard() {
	const seconds, rate, burst = 10, 20, 8
	ids := []topology.InstanceID{"one", "two"}
	shards := make(map[topology.InstanceID]*ledger.RateShard)
	for i, id := range ids {
		shards[id] = ledger.NewRateShard(1)
		shards[id].SetLimits(0, []ledger.RateLimit{{Customer: "c1", Rate: rate, Burst: burst}})
		shards[id].SetSlots(0, &ledger.SlotAssignment{
			Holders: ids,
			Leases:  []ledger.SlotLease{{Index: i, Epoch: 1, ExpiresAt: time.Hour}},
		})
	}

	admitted, refused := 0, 0
	var waiting []*ledger.Ticket
	count := func(refusal *ledger.Refusal) {
		if refusal != nil {
			refused++
			return
		}
		admitted++
	}
	const step = 10 * time.Millisecond
	for now := time.Duration(0); now < seconds*time.Second; now += step {
		ticket, refusal := shards["one"].Admit(now, "c1")
		if ticket != nil {
			waiting = append(waiting, ticket)
		} else {
			count(refusal)
		}
		for _, from := range ids {
			shards[from].Tick(now)
			for to, message := range shards[from].TakeOutbox() {
				shards[to].Receive(now, from, message)
			}
		}
		kept := waiting[:0]
		for _, ticket := range waiting {
			select {
			case refusal := <-ticket.Outcome():
				count(refusal)
			default:
				kept = append(kept, ticket)
			}
		}
		waiting = kept
	}
	fmt.Println("more than its own half:", admitted > rate/2*seconds+burst/2)
	fmt.Println("within the total:", admitted <= rate*seconds+burst)
	fmt.Println("all accounted for:", admitted+refused+len(waiting) == seconds*100)
	// Output:
	// more than its own half: true
	// within the total: true
	// all accounted for: true
}
