// Package ledger keeps the request rates of customers and the connections to
// targets within their limits over the whole fleet, without a central
// coordinator.
//
// Every customer's rate and burst is divided into equal parts, each owned by a
// numbered slot. The instance that holds a slot's lease runs the part as a token
// bucket and lends tokens, for RateLoanTTL, to instances that have more demand.
// The lender counts a loan as unspent until the borrower reports otherwise or
// the loan expires by the lender's clock. The borrower counts the TTL from when
// it sent the request, so the loan expires at the borrower first. In each part
// the tokens in the bucket and the lent tokens together never exceed the part's
// burst, and only refills at the part's rate add tokens. So over any window of w
// seconds the fleet admits at most rate*w+burst requests. A lost message
// destroys tokens; no fault duplicates them.
//
// A target's connections are divided into shares in the same way. A lent
// connection comes back only when the borrower returns it or its process is
// known to be gone, because a connection can stay open after the borrower's loan
// has expired. A holder that gives up its slot hands over the list of its loans,
// with which the next one uses the share at once; without it the next one waits
// until every loan has ended.
//
// The state machines hold no lock, clock or network: one for each shard of the
// customers manages rates, and one manages all connections. Driver runs them,
// serializes access to them and exchanges Messages with the ledgers of other
// instances. Package membership decides which instance holds which slot.
package ledger

import (
	"fmt"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"samphirehitch.example/samphirehitch/process/topology"
)

// MaxParts is the maximum number of parts of a customer's rate. It bounds the
// peers from which an instance requests one customer's tokens.
const MaxParts = 8

// Durations of the lending protocol.
const (
	// RateLoanTTL is how long a rate loan lasts at the borrower, counted from
	// when the borrower sent the request.
	RateLoanTTL = 300 * time.Millisecond
	// lenderRateLoanTTL is how long the lender counts a rate loan. The extra
	// time covers clocks that run at different speeds.
	lenderRateLoanTTL = RateLoanTTL + RateLoanTTL/16
	// rateTakeoverDelay is how long a new holder of a slot waits before it
	// refills the slot's parts, so that loans of the previous holder have
	// expired.
	rateTakeoverDelay = lenderRateLoanTTL
	// MaxAdmitWait bounds the time that a request waits for a token.
	MaxAdmitWait = 240 * time.Millisecond
)

// RateLimit is the rate limit of a customer: in any window of w seconds, at most
// Rate*w+Burst of its requests start.
type RateLimit struct {
	Customer topology.CustomerID
	// Rate is in requests per second.
	Rate float64
	// Burst is in requests.
	Burst float64
}

// Refusal is the error for a request that exceeds its customer's rate limit. The
// request did not run.
type Refusal struct {
	Customer topology.CustomerID
	// RetryAfter is the estimated time until the rate admits another request.
	RetryAfter time.Duration
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("rate limit of customer %s exceeded, retry after %v", r.Customer, r.RetryAfter)
}

// SlotAssignment is the assignment of slots to instances, as one instance knows
// it. It is immutable.
type SlotAssignment struct {
	// Holders holds one entry for each slot: the instance that holds it, or
	// empty when none is known. Its length is the number of slots, which is the
	// same on all instances.
	Holders []topology.InstanceID
	// Leases lists the leases of the slots that this instance holds.
	Leases []SlotLease
	// Peers lists the other instances that may run.
	Peers []topology.InstanceID
}

// SlotLease is the lease that this instance has on one slot.
type SlotLease struct {
	Index int
	// Epoch identifies the lease: every new lease on the slot gets another
	// epoch, a renewal keeps it.
	Epoch uint64
	// ExpiresAt is the monotonic time at which the lease expires unless it is
	// renewed.
	ExpiresAt time.Duration
}

// partSlots returns the slots that own the parts of a customer's rate. The
// result depends only on the customer and the number of slots, so all instances
// compute the same.
func partSlots(customer topology.CustomerID, slots int) []int {
	if slots <= 0 {
		return nil
	}
	return spreadOverSlots(xxhash.Sum64String(string(customer)), slots, min(slots, MaxParts))
}

// spreadOverSlots chooses count slots, spread as evenly as possible. The hash
// determines the first slot and a stride that is coprime to the number of slots,
// so that it reaches every slot.
func spreadOverSlots(hash uint64, slots, count int) []int {
	chosen := make([]int, 0, count)
	stride := 1 + int((hash>>32)%uint64(slots))
	for gcd(stride, slots) != 1 {
		stride++
	}
	slot := int(hash % uint64(slots))
	for range count {
		chosen = append(chosen, slot)
		slot = (slot + stride) % slots
	}
	return chosen
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

// seconds converts a duration to a number that can be multiplied by a rate.
func seconds(d time.Duration) float64 { return float64(d) / float64(time.Second) }

// demandTimeConstant is the time in which a request's weight in the demand
// decays to 1/e.
const demandTimeConstant = 200 * time.Millisecond

// demandMeter measures requests per second as an exponentially decaying average.
type demandMeter struct {
	// count is the decayed number of requests at updatedAt.
	count     float64
	updatedAt time.Duration
}

// recordRequest counts one request.
func (m *demandMeter) recordRequest(now time.Duration) {
	m.count = m.decayedCount(now) + 1
	m.updatedAt = now
}

// rate returns the demand in requests per second.
func (m *demandMeter) rate(now time.Duration) float64 {
	return m.decayedCount(now) / demandTimeConstant.Seconds()
}

func (m *demandMeter) decayedCount(now time.Duration) float64 {
	if m.count < 1e-6 {
		return 0
	}
	return m.count * math.Exp(-seconds(now-m.updatedAt)/demandTimeConstant.Seconds())
}
