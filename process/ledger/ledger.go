// Package ledger keeps the rates of customers and the connections of targets
// within their totals over the whole fleet, without a coordinator.
//
// Every customer's rate and burst is divided into fixed parts, each owned by a
// numbered slot. The instance that holds the slot runs the part as a token
// bucket and lends tokens for a short term to instances that have more demand. A
// lender counts a loan as unspent until the borrower reports otherwise or its
// own clock passes the term; the borrower counts the term from when it asked, so
// it stops first. In each part the level and the lent tokens together never
// exceed the part's burst, and only refills at the part's rate add to them, so
// over any window of w seconds the fleet admits at most rate*w+burst. A lost
// message destroys tokens; none doubles them.
//
// The package does not decide who holds a slot; package membership does.
package ledger

import (
	"fmt"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"samphirehitch.example/samphirehitch/process/topology"
)

// MaxParts is the most parts that a customer's rate is divided into. It bounds
// the peers that an instance asks for one customer's tokens.
const MaxParts = 8

// Times of the protocol.
const (
	// LoanTerm is how long a rate loan lasts from when the borrower asked.
	LoanTerm = 300 * time.Millisecond
	// lenderTerm is how long the lender counts a loan. The difference covers
	// clocks that run at different speeds.
	lenderTerm = LoanTerm + LoanTerm/16
	// partDelay is how long a new holder waits before a part refills, so that
	// loans of the former holder have ended.
	partDelay = lenderTerm
	// MaxAdmitWait bounds the time that a request waits for tokens.
	MaxAdmitWait = 240 * time.Millisecond
)

// Limit bounds a customer's requests: at most Rate*w+Burst start in any window
// of w seconds.
type Limit struct {
	Customer topology.CustomerID
	// Rate is in requests per second.
	Rate float64
	// Burst is in requests.
	Burst float64
}

// Refusal reports that a request is over its customer's rate. The request did
// not run.
type Refusal struct {
	Customer topology.CustomerID
	// RetryAfter is when the rate is expected to admit a request again.
	RetryAfter time.Duration
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("admit request of %s: over rate, retry after %v", r.Customer, r.RetryAfter)
}

// Slots says which instance holds which slot, as one instance knows it. It is
// immutable.
type Slots struct {
	// Holders has one entry for each slot; empty when nobody is known to hold
	// it. Its length is the number of slots and the same on all instances.
	Holders []topology.InstanceID
	// Owned lists the slots that this instance holds.
	Owned []OwnedSlot
}

// OwnedSlot is the right to one slot.
type OwnedSlot struct {
	Index int
	// Epoch differs for every holding of the slot.
	Epoch uint64
	// Until is the monotonic time at which the right ends unless it is renewed.
	Until time.Duration
}

// partSlots returns the slots that own a customer's parts. The result depends
// only on the customer and the number of slots.
func partSlots(customer topology.CustomerID, slots int) []int {
	if slots <= 0 {
		return nil
	}
	return spread(xxhash.Sum64String(string(customer)), slots, min(slots, MaxParts))
}

// spread picks count places among slots, as evenly as possible, starting from a
// place that the hash names and going on by a stride that reaches every slot.
func spread(hash uint64, slots, count int) []int {
	places := make([]int, 0, count)
	stride := 1 + int((hash>>32)%uint64(slots))
	for gcd(stride, slots) != 1 {
		stride++
	}
	place := int(hash % uint64(slots))
	for range count {
		places = append(places, place)
		place = (place + stride) % slots
	}
	return places
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

// seconds converts a duration for arithmetic with rates.
func seconds(d time.Duration) float64 { return float64(d) / float64(time.Second) }

// demandWindow is the time constant of the demand average.
const demandWindow = 200 * time.Millisecond

// demandMeter is a decaying average of requests per second.
type demandMeter struct {
	weight  float64
	updated time.Duration
}

// add counts one request.
func (m *demandMeter) add(now time.Duration) {
	m.weight = m.decayed(now) + 1
	m.updated = now
}

// rate returns requests per second.
func (m *demandMeter) rate(now time.Duration) float64 {
	return m.decayed(now) / demandWindow.Seconds()
}

func (m *demandMeter) decayed(now time.Duration) float64 {
	if m.weight < 1e-6 {
		return 0
	}
	return m.weight * math.Exp(-seconds(now-m.updated)/demandWindow.Seconds())
}
