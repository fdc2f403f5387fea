// Package tenure judges how long an instance may act on what it last confirmed
// with the store: use a service's primary, accept a customer's key, order
// promotions. All times are of a clock that counts suspension.
package tenure

import (
	"sync"
	"time"

	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/process/topology"
)

// Spans of the rights, counted from when the confirming call was made.
const (
	// LeaseTerm is the term of an instance's registration in the store.
	LeaseTerm = 3600 * time.Millisecond
	// RightSpan is how long a primary is used on a confirmation or a renewal. It
	// is below LeaseTerm, so that a right ends before the registration does; the
	// difference covers clocks that run at different speeds and late timers.
	RightSpan = 3300 * time.Millisecond
	// fenceMargin is added to RightSpan by the holder of the duty before it takes
	// a primary to be out of use, for the same reasons.
	fenceMargin = 300 * time.Millisecond
)

// FenceSpan is how long after a fence was written the last right ends.
const FenceSpan = RightSpan + fenceMargin

// Tenure holds the confirmations. It is safe for concurrent use.
type Tenure struct {
	// keySpan is how long keys are accepted on a confirmation.
	keySpan time.Duration

	mu sync.Mutex
	// renewed is when the last successful renewal of the registration was asked.
	renewed    time.Duration
	registered bool
	// confirmed is when the last confirmation of the configuration was asked.
	confirmed    time.Duration
	hasConfirmed bool
	groups       map[topology.ServiceID]confirmation
}

type confirmation struct {
	at       time.Duration
	revision store.Revision
}

// New returns a tenure without rights. KeySpan is how long after a confirmation
// keys are accepted.
func New(keySpan time.Duration) *Tenure {
	return &Tenure{keySpan: keySpan, groups: make(map[topology.ServiceID]confirmation)}
}

// Renewed notes that the registration was renewed by a call made at asked.
func (t *Tenure) Renewed(asked time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.registered, t.renewed = true, max(t.renewed, asked)
}

// Lapsed notes that the registration has ended.
func (t *Tenure) Lapsed() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.registered = false
}

// Confirmed notes that a call made at asked saw the configuration at its present
// revision and the services' records at the given ones.
func (t *Tenure) Confirmed(asked time.Duration, groups map[topology.ServiceID]store.Revision) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.hasConfirmed, t.confirmed = true, max(t.confirmed, asked)
	for service, revision := range groups {
		if c := t.groups[service]; revision > c.revision || revision == c.revision && asked > c.at {
			t.groups[service] = confirmation{at: asked, revision: revision}
		}
	}
}

// ConfirmedElsewhere notes that another instance saw the configuration at its present
// revision by a call made no earlier than at. It gives no right to a primary.
func (t *Tenure) ConfirmedElsewhere(at time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.hasConfirmed, t.confirmed = true, max(t.confirmed, at)
}

// Registered reports that the registration holds at now.
func (t *Tenure) Registered(now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.held(now)
}

func (t *Tenure) held(now time.Duration) bool { return t.registered && now-t.renewed < RightSpan }

// Keys reports that customers' keys may be accepted at now.
func (t *Tenure) Keys(now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.hasConfirmed && now-t.confirmed < t.keySpan
}

// Primary reports that the primary of the service's record at the revision may
// be used at now.
func (t *Tenure) Primary(now time.Duration, service topology.ServiceID, revision store.Revision) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	c, known := t.groups[service]
	return known && t.held(now) && c.revision == revision && now-c.at < RightSpan
}

// Age returns the time since the last confirmation, negative without any.
func (t *Tenure) Age(now time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.hasConfirmed {
		return -1
	}
	return now - t.confirmed
}

// End returns when the right to the service's primary ends, if nothing is
// confirmed or renewed until then.
func (t *Tenure) End(service topology.ServiceID) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	c, known := t.groups[service]
	if !known || !t.registered {
		return 0
	}
	return min(c.at, t.renewed) + RightSpan
}
