// Package status defines what a daemon tells of itself at /status on its admin
// address. Daemons write it and the operators' command reads it.
package status

import (
	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/process/topology"
)

// Daemon describes a daemon at one moment.
type Daemon struct {
	Instance      topology.InstanceID    `json:"instance"`
	FailureDomain topology.FailureDomain `json:"failure_domain"`
	Draining      bool                   `json:"draining"`
	Configuration Configuration          `json:"configuration"`
	Peers         []topology.InstanceID  `json:"peers"`
	Services      []Service              `json:"services"`
}

// Configuration describes the configuration in force on a daemon.
type Configuration struct {
	Revision  store.Revision `json:"revision"`
	Watching  bool           `json:"watching"`
	Freshness string         `json:"freshness"`
	// AgeMillis is the age of the evidence in milliseconds, negative without any.
	AgeMillis int64 `json:"age_millis"`
	// Rejected counts the records that are not in force as written.
	Rejected int `json:"rejected"`
}

// Service describes a service as a daemon sees it.
type Service struct {
	Service topology.ServiceID `json:"service"`
	Primary topology.TargetID  `json:"primary"`
	Term    topology.Term      `json:"term"`
	Targets []Target           `json:"targets"`
}

// Target describes a target as a daemon sees it.
type Target struct {
	Target    topology.TargetID `json:"target"`
	Role      string            `json:"role"`
	Reachable bool              `json:"reachable"`
	Leaving   bool              `json:"leaving"`
	Received  topology.Point    `json:"received"`
	Replayed  topology.Point    `json:"replayed"`
	Pool      Pool              `json:"pool"`
}

// Pool describes a daemon's connections to a target.
type Pool struct {
	Limit   int `json:"limit"`
	Open    int `json:"open"`
	Leased  int `json:"leased"`
	Idle    int `json:"idle"`
	Waiting int `json:"waiting"`
}
