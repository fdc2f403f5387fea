// Package status defines the JSON document that a daemon serves at /status on its
// admin address. The operators' command-line tool reads it.
package status

import (
	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/process/topology"
)

// Daemon is the state of a daemon.
type Daemon struct {
	Instance      topology.InstanceID    `json:"instance"`
	FailureDomain topology.FailureDomain `json:"failure_domain"`
	Draining      bool                   `json:"draining"`
	Configuration Configuration          `json:"configuration"`
	Peers         []topology.InstanceID  `json:"peers"`
	Services      []Service              `json:"services"`
}

// Configuration is the state of the configuration that a daemon applies.
type Configuration struct {
	Revision store.Revision `json:"revision"`
	// Watching is set while the daemon watches the store for changes itself.
	Watching  bool   `json:"watching"`
	Freshness string `json:"freshness"`
	// AgeMillis is the time since the configuration was last confirmed to be current,
	// in milliseconds; negative when it never was.
	AgeMillis int64 `json:"age_millis"`
	// Rejected is the number of records that are not applied as written.
	Rejected int `json:"rejected"`
}

// Service is the state of a service as a daemon sees it.
type Service struct {
	Service topology.ServiceID `json:"service"`
	Primary topology.TargetID  `json:"primary"`
	Term    topology.Term      `json:"term"`
	Targets []Target           `json:"targets"`
}

// Target is the state of a target as a daemon sees it.
type Target struct {
	Target    topology.TargetID `json:"target"`
	Role      string            `json:"role"`
	Reachable bool              `json:"reachable"`
	Leaving   bool              `json:"leaving"`
	Received  topology.Point    `json:"received"`
	Replayed  topology.Point    `json:"replayed"`
	Pool      Pool              `json:"pool"`
}

// Pool holds the numbers of a daemon's connections to a target, and of the requests
// that wait for one.
type Pool struct {
	Limit   int `json:"limit"`
	Open    int `json:"open"`
	Leased  int `json:"leased"`
	Idle    int `json:"idle"`
	Waiting int `json:"waiting"`
}
