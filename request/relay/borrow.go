package relay

import (
	"time"

	"samphirehitch.example/samphirehitch/process/topology"
)

// lendPatience is how long an instance may take to say whether it lends: several
// round trips of 3 ms. One that takes longer has lent in vain, which only admits less.
const lendPatience = 25 * time.Millisecond

// Borrow asks instances in turn to admit an operation of a customer on their parts of
// its limit.
func (r *Relay) Borrow(lenders []topology.InstanceID, customer topology.CustomerID) bool {
	for _, id := range lenders {
		if r.usable(id) && r.borrowFrom(id, customer) {
			return true
		}
	}
	return false
}

func (r *Relay) borrowFrom(id topology.InstanceID, customer topology.CustomerID) bool {
	number, answer := r.lastID.Add(1), make(chan bool, 1)
	r.mu.Lock()
	r.loans[number] = answer
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.loans, number)
	}()
	r.send(id, &message{Borrow: &borrow{ID: number, Customer: customer}})
	timer := time.NewTimer(lendPatience)
	defer timer.Stop()
	select {
	case ok := <-answer:
		return ok
	case <-timer.C:
		return false
	}
}

// lent takes the answer to a request to lend.
func (r *Relay) lent(answer *lent) {
	r.mu.Lock()
	waiting := r.loans[answer.ID]
	delete(r.loans, answer.ID)
	r.mu.Unlock()
	if waiting != nil {
		waiting <- answer.OK
	}
}
