// Package authority decides whether an instance has the authority to use a service's
// primary or to accept customers' keys, and whether its registration is certain to be
// valid, without which it must not be the failover leader. Authority derives from the
// instance's last confirmations with the store and expires if they are not repeated, so
// that an instance that is cut off from the store stops by itself.
//
// All times are those of a boot-time clock, which advances while the process or
// machine is suspended.
package authority

import (
	"slices"
	"sync"
	"time"

	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/process/topology"
)

// Durations of authority. They are counted from when the confirming call was sent,
// since its response tells the state of the store at some time after that.
const (
	// MinRegistrationTTL is the shortest TTL of the lease of an instance's registration.
	MinRegistrationTTL = 3600 * time.Millisecond
	// PrimaryDuration is how long a confirmation of the service's record and a renewal
	// of the registration each allow the use of the primary. It is below
	// MinRegistrationTTL, so that the authority expires before the registration; the
	// difference covers clocks that run at different speeds and late timers.
	PrimaryDuration = 3300 * time.Millisecond
	// fenceMargin is added to PrimaryDuration by the failover leader before it regards
	// a fenced primary as out of use. It covers the same differences.
	fenceMargin = 300 * time.Millisecond
	// registrationMargin is the time by which a registration counts as expired before its
	// lease ends. It covers the same differences.
	registrationMargin = MinRegistrationTTL - PrimaryDuration
)

// FenceWait is how long the failover leader waits after a fence was written until
// every authority to use the primary has expired.
const FenceWait = PrimaryDuration + fenceMargin

// Tracker tracks an instance's confirmations and derives its authority from them.
// It is safe for concurrent use.
type Tracker struct {
	// keyDuration is how long a confirmation of the configuration allows keys to be
	// accepted.
	keyDuration time.Duration

	// mu guards the fields below.
	mu sync.Mutex
	// renewedAt is when the last successful renewal of the registration was sent, and
	// registeredUntil when its lease may end.
	renewedAt, registeredUntil time.Duration
	registered                 bool
	// confirmedAt is when the last confirmation of the configuration was sent, by this
	// instance or a peer, while hasConfirmation is set.
	confirmedAt         time.Duration
	hasConfirmation     bool
	recordConfirmations map[topology.ServiceID]confirmation
	// declaredAt is when a usage that names the service was known to be in the store, where
	// it has been since.
	declaredAt map[topology.ServiceID]time.Duration
}

// confirmation is the last confirmation of a service's record.
type confirmation struct {
	// at is when the confirming call was sent.
	at time.Duration
	// revision is that of the record in the store.
	revision store.Revision
	// declared says that the usage was in the store when the call was sent. A fence of the
	// confirmed record is then later than the usage, and waits for this instance.
	declared bool
}

// New returns a tracker of an instance without any authority. After a confirmation of
// the configuration, keys are accepted for keyDuration.
func New(keyDuration time.Duration) *Tracker {
	return &Tracker{keyDuration: keyDuration, recordConfirmations: make(map[topology.ServiceID]confirmation),
		declaredAt: make(map[topology.ServiceID]time.Duration)}
}

// ObserveRenewal records that the registration was renewed for ttl by a call that was
// sent at requestedAt.
func (t *Tracker) ObserveRenewal(requestedAt, ttl time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.registered = true
	if requestedAt >= t.renewedAt {
		t.renewedAt, t.registeredUntil = requestedAt, requestedAt+ttl-registrationMargin
	}
}

// ObserveExpiry records that the registration expired or was removed, and the usage with it.
func (t *Tracker) ObserveExpiry() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.registered = false
	clear(t.declaredAt)
	for service := range t.recordConfirmations {
		t.discard(service)
	}
}

// ObserveDeclaration records that the usage that names the services was written at a
// revision, which was known at the given time. Unless it has replaced the previous one without
// an interruption, a fence may have been complete without this instance in between: then
// confirmations from before do not count. Those from before a restore of the store count for as
// long as without the new usage: the failover leader allows for it.
func (t *Tracker) ObserveDeclaration(at time.Duration, services []topology.ServiceID, written store.Revision, uninterrupted bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	previous := t.declaredAt
	t.declaredAt = make(map[topology.ServiceID]time.Duration, len(services))
	for service := range previous {
		if !slices.Contains(services, service) {
			t.discard(service)
		}
	}
	for _, service := range services {
		since, declared := previous[service]
		switch {
		case declared && uninterrupted:
			t.declaredAt[service] = since
			continue
		case declared && t.registered && t.recordConfirmations[service].revision.Era() < written.Era():
			t.limitToRenewal(service)
		default:
			t.discard(service)
		}
		t.declaredAt[service] = at
	}
}

// limitToRenewal has the confirmation of a service's record count no longer than the last
// renewal. The caller holds mu.
func (t *Tracker) limitToRenewal(service topology.ServiceID) {
	c := t.recordConfirmations[service]
	c.at = min(c.at, t.renewedAt)
	t.recordConfirmations[service] = c
}

// discard has the confirmation of a service's record not count. The caller holds mu.
func (t *Tracker) discard(service topology.ServiceID) {
	if c, known := t.recordConfirmations[service]; known {
		c.declared = false
		t.recordConfirmations[service] = c
	}
}

// ObserveConfirmation records that a call sent at requestedAt found the services' records
// at the given revisions and, if configuration is set, no later configuration than the one
// that is in force here. Responses may arrive out of order: an earlier one changes nothing.
func (t *Tracker) ObserveConfirmation(requestedAt time.Duration, configuration bool, records map[topology.ServiceID]store.Revision) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if configuration {
		t.hasConfirmation, t.confirmedAt = true, max(t.confirmedAt, requestedAt)
	}
	for service, revision := range records {
		if c := t.recordConfirmations[service]; revision > c.revision || revision == c.revision && requestedAt > c.at {
			since, declared := t.declaredAt[service]
			t.recordConfirmations[service] = confirmation{at: requestedAt, revision: revision, declared: declared && requestedAt > since}
		}
	}
}

// ObservePeerConfirmation records that another instance confirmed the configuration
// that is in force here with a call sent at or after the given time. It gives no
// authority to use a primary.
func (t *Tracker) ObservePeerConfirmation(at time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.hasConfirmation, t.confirmedAt = true, max(t.confirmedAt, at)
}

// RegistrationValid reports whether the registration is certain to be valid at now.
func (t *Tracker) RegistrationValid(now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.registrationValid(now)
}

// registrationValid reports whether the registration is certain to be valid at now.
// The caller holds mu.
func (t *Tracker) registrationValid(now time.Duration) bool {
	return t.registered && now < t.registeredUntil
}

// MayAcceptKeys reports whether the instance has the authority to accept customers' keys
// at now.
func (t *Tracker) MayAcceptKeys(now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.hasConfirmation && now-t.confirmedAt < t.keyDuration
}

// MayUsePrimary reports whether the instance has the authority to use, at now, the
// primary that the service's record names at a revision. It has none for a service that its
// usage does not name.
func (t *Tracker) MayUsePrimary(now time.Duration, service topology.ServiceID, revision store.Revision) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.recordConfirmations[service]
	return c.declared && t.registrationValid(now) && now-t.renewedAt < PrimaryDuration &&
		c.revision == revision && now-c.at < PrimaryDuration
}

// ConfirmationAge returns the time since the configuration was last confirmed, negative
// if it never was.
func (t *Tracker) ConfirmationAge(now time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.hasConfirmation {
		return -1
	}
	return now - t.confirmedAt
}

// PrimaryExpiry returns when the authority to use the primary that the service's record
// names at a revision expires if nothing is confirmed or renewed until then, zero if there is
// none.
func (t *Tracker) PrimaryExpiry(service topology.ServiceID, revision store.Revision) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.recordConfirmations[service]
	if !c.declared || c.revision != revision || !t.registered {
		return 0
	}
	return min(c.at, t.renewedAt) + PrimaryDuration
}
