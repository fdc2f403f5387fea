// Package entrysettings defines the settings of the entry daemon of package edge,
// independent of the platform. The adapter to the platform fills them from the
// platform's own format.
package entrysettings

import (
	"time"

	"github.com/rotisserie/eris"

	"samphirehitch.example/samphirehitch/process/topology"
)

// Settings holds the settings of one entry daemon. Addresses are host:port.
type Settings struct {
	Instance      topology.InstanceID
	FailureDomain topology.FailureDomain
	// CallerAddress is where the daemon listens for callers.
	CallerAddress string
	// ReadinessAddress is where the daemon serves the probes of load balancers.
	ReadinessAddress string
	// MetricsAddress is where the daemon serves metrics; empty for not at all.
	MetricsAddress string
	// PeerAddress is where the daemon listens for other instances.
	PeerAddress string
	// StoreAddress is the address of the platform's key-value service.
	StoreAddress string
	// PromotionAddress is the address of the platform's promotion service.
	PromotionAddress string
	// CPUShare is the share of a core that the instance may use.
	CPUShare         float64
	MemoryLimitBytes int64
	// DescriptorLimit is the limit on open file descriptors.
	DescriptorLimit int
	// MaxDrainDelay is the time after which a draining target must not receive
	// statements.
	MaxDrainDelay time.Duration
	// TerminationGrace is the time between SIGTERM and SIGKILL when the daemon is stopped.
	TerminationGrace time.Duration
	// MaxRevocationDelay is the time after which no statement may run for a key whose
	// access was revoked.
	MaxRevocationDelay time.Duration
	// RateWindow is the length of the window over which customers' rates are limited.
	RateWindow time.Duration
	// MinLeaseTTL is the shortest TTL of a lease that the store grants.
	MinLeaseTTL time.Duration
}

// Validate returns an error for the first setting that is missing or out of range.
func (s Settings) Validate() error {
	required := []struct{ name, value string }{
		{"instance name", string(s.Instance)},
		{"failure domain", string(s.FailureDomain)},
		{"caller address", s.CallerAddress},
		{"readiness address", s.ReadinessAddress},
		{"peer address", s.PeerAddress},
		{"store address", s.StoreAddress},
		{"promotion address", s.PromotionAddress},
	}
	for _, field := range required {
		if field.value == "" {
			return eris.Errorf("setting %q is missing", field.name)
		}
	}
	positive := []struct {
		name  string
		value time.Duration
	}{
		{"maximum drain delay", s.MaxDrainDelay},
		{"grace", s.TerminationGrace},
		{"maximum revocation delay", s.MaxRevocationDelay},
		{"rate window", s.RateWindow},
	}
	for _, field := range positive {
		if field.value <= 0 {
			return eris.Errorf("setting %q is %s, must be positive", field.name, field.value)
		}
	}
	return nil
}
