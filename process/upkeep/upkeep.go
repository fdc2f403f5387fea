// Package upkeep schedules the calls to the store by which an instance stays registered
// and informed. The intervals depend on the instance's role, so that the calls of a large
// fleet are few: most of its instances only forward requests to the owners of services.
// The owners authorize those requests, decide them by their own configuration, and confirm
// it with their responses. Nothing that a forwarding instance does alone depends on how
// recently it has heard from the store.
package upkeep

import "time"

// Role is the part that an instance has in the fleet.
type Role uint8

const (
	// Forwarding instances forward all requests. They have too small a CPU share to own
	// services while there are larger instances.
	Forwarding Role = iota + 1
	// Standby instances forward all requests and may become owners. Their registrations
	// expire soon after they fail, so that no service is assigned to a failed instance.
	Standby
	// Using instances own services, or use their primaries as backup owners.
	Using
)

// String returns the name of the role in logs.
func (r Role) String() string {
	switch r {
	case Forwarding:
		return "forwarding"
	case Standby:
		return "standby"
	case Using:
		return "using"
	default:
		return "unknown"
	}
}

// Schedule holds the intervals of one role.
type Schedule struct {
	// RegistrationTTL is the TTL of the registration's lease, RenewInterval the interval
	// between its renewals, and RenewRetryInterval that while renewals fail.
	RegistrationTTL, RenewInterval, RenewRetryInterval time.Duration
	// ConfirmInterval is the greatest age of the last confirmation of the configuration,
	// the instance's own or an owner's, before the instance confirms it again.
	ConfirmInterval time.Duration
	// ProbeInterval is the interval between calls, other than renewals, while the store is
	// unavailable.
	ProbeInterval time.Duration
}

// shortTTL is the TTL of the registration of an instance that owns services or may. It
// exceeds the duration of the authority to use a primary, of package authority.
const shortTTL = 3600 * time.Millisecond

var schedules = map[Role]Schedule{
	Forwarding: {
		RegistrationTTL: 20 * time.Second, RenewInterval: 6 * time.Second, RenewRetryInterval: time.Second,
		ConfirmInterval: 10 * time.Second, ProbeInterval: 2 * time.Second,
	},
	Standby: {
		RegistrationTTL: shortTTL, RenewInterval: 900 * time.Millisecond, RenewRetryInterval: 300 * time.Millisecond,
		ConfirmInterval: 10 * time.Second, ProbeInterval: time.Second,
	},
	// Three renewals and two confirmations fit into the duration of the authority to use a
	// primary.
	Using: {
		RegistrationTTL: shortTTL, RenewInterval: 900 * time.Millisecond, RenewRetryInterval: 300 * time.Millisecond,
		ConfirmInterval: 1400 * time.Millisecond, ProbeInterval: 500 * time.Millisecond,
	},
}

// For returns the schedule of a role.
func For(r Role) Schedule { return schedules[r] }

// RoleOf returns the role of an instance that uses primaries or not, and that may own
// services or not.
func RoleOf(usesPrimaries, mayOwn bool) Role {
	switch {
	case usesPrimaries:
		return Using
	case mayOwn:
		return Standby
	default:
		return Forwarding
	}
}

// LeaseTTL returns the TTL of the lease for a new registration. While the whole fleet is
// starting, the instances that will own services are not known yet; most will forward.
func LeaseTTL(r Role, fleetStarting bool) time.Duration {
	if r == Standby && fleetStarting {
		r = Forwarding
	}
	return For(r).RegistrationTTL
}

// NeedsNewLease reports whether an instance whose registration's lease has the given TTL
// needs another lease in its role. A forwarding instance with a short lease saves renewals
// with a long one. An instance that uses primaries needs a short one, so that others soon
// replace it when it fails. Other instances keep the lease that they have: all forwarding
// instances may briefly become eligible at once, when the larger ones fail.
func NeedsNewLease(r Role, ttl time.Duration) bool {
	return r != Standby && ttl != For(r).RegistrationTTL
}
