// Package entrysettings holds the checked settings of the platform's entry
// daemon. An adapter fills them from the platform's own format.
package entrysettings

import (
	"time"

	"github.com/rotisserie/eris"

	"samphirehitch.example/samphirehitch/process/topology"
)

// Settings of one entry daemon. Addresses are host:port.
type Settings struct {
	Instance         topology.InstanceID
	FailureDomain    topology.FailureDomain
	CallerAddress    string
	ReadinessAddress string
	// MetricsAddress is empty when metrics are not served.
	MetricsAddress string
	// PeerAddress is where other instances reach this one.
	PeerAddress      string
	StoreAddress     string
	PromotionAddress string
	// Processor is the share of a core that the instance has.
	Processor   float64
	MemoryBytes int64
	Descriptors int
	// DrainLimit is the time after which a leaving target gets no statements.
	DrainLimit time.Duration
	// Grace is the time between SIGTERM and SIGKILL.
	Grace time.Duration
	// WithdrawalLimit is the time after which a withdrawn key runs nothing.
	WithdrawalLimit time.Duration
	// RateWindow is the span over which customers' limits count.
	RateWindow time.Duration
	// LeastLease is the shortest lease that the store grants.
	LeastLease time.Duration
}

// Check reports the first setting that cannot be used.
func (s Settings) Check() error {
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
		{"drain limit", s.DrainLimit},
		{"grace", s.Grace},
		{"withdrawal limit", s.WithdrawalLimit},
		{"rate window", s.RateWindow},
	}
	for _, field := range positive {
		if field.value <= 0 {
			return eris.Errorf("setting %q is %s, not positive", field.name, field.value)
		}
	}
	return nil
}
