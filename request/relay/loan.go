package relay

import (
	"time"

	"samphirehitch.example/samphirehitch/process/topology"
)

// loanTimeout bounds the wait for a loan response. It allows for several round trips
// of 3 ms. A token that is granted later is lost, so that fewer operations are
// admitted, never more.
const loanTimeout = 25 * time.Millisecond

// pendingLoan is a loan request that waits for its response.
type pendingLoan struct {
	to topology.InstanceID
	// granted receives whether the loan was granted. It has a buffer of one.
	granted chan bool
}

// BorrowToken requests a token for one operation of a customer from other instances'
// shares of its rate limit, one instance after the other. It reports whether one was
// granted.
func (r *Relay) BorrowToken(lenders []topology.InstanceID, customer topology.CustomerID) bool {
	for _, id := range lenders {
		if r.available(id) && r.borrowFrom(id, customer) {
			return true
		}
	}
	return false
}

func (r *Relay) borrowFrom(id topology.InstanceID, customer topology.CustomerID) bool {
	loanID, granted := r.lastID.Add(1), make(chan bool, 1)
	r.mu.Lock()
	r.pendingLoans[loanID] = pendingLoan{to: id, granted: granted}
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.pendingLoans, loanID)
	}()
	r.send(id, &message{LoanRequest: &loanRequest{ID: loanID, Customer: customer}})
	timer := time.NewTimer(loanTimeout)
	defer timer.Stop()
	select {
	case ok := <-granted:
		return ok
	case <-timer.C:
		return false
	}
}

// handleLoanResponse passes a loan response to the request that waits for it. A late
// response, or one from another instance than the requested one, is ignored.
func (r *Relay) handleLoanResponse(from topology.InstanceID, resp *loanResponse) {
	r.mu.Lock()
	pending, known := r.pendingLoans[resp.ID]
	expected := known && pending.to == from
	if expected {
		delete(r.pendingLoans, resp.ID)
	}
	r.mu.Unlock()
	if expected {
		pending.granted <- resp.Granted
	}
}
