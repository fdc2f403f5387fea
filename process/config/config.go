// Package config replicates the operators' configuration from the platform's
// store to every instance and tracks how fresh each copy is.
//
// A few instances of each failure domain, the watchers, watch the store. The
// others follow by gossip between instances: pushed changes, periodic digests
// (anti-entropy) and page-wise transfers of the whole configuration. Watchers
// also write heartbeats to the store; the revision of a heartbeat bounds the
// store's state at the time of sending and so is evidence that a copy is
// recent. The package does not interpret records.
package config

import (
	"fmt"
	"strings"
	"time"

	"samphirehitch.example/samphirehitch/process/store"
)

// Prefix is the store prefix of all configuration records; keys have the form
// config/<kind>/<id>.
const Prefix = "config/"

// HeartbeatPrefix is the store prefix of the heartbeat keys, which watchers
// write to prove that they reach the store. It lies below Prefix, so that a
// watch which returns a heartbeat has also returned every earlier change of the
// configuration.
const HeartbeatPrefix = Prefix + "heartbeat/"

// State is the configuration as of a revision. It is immutable.
type State struct {
	// Revision is at or after the last change that the state contains; no
	// record changed between the two.
	Revision store.Revision
	// Entries holds the records sorted by key. The slice is shared and must not
	// be changed.
	Entries []store.Entry
}

// StaleError reports that this instance has no recent evidence that its
// configuration is current, so that keyed routes fail closed.
type StaleError struct {
	// Age is the age of the latest evidence, or negative when there is none.
	Age time.Duration
}

// Error implements error.
func (e *StaleError) Error() string {
	if e.Age < 0 {
		return "configuration is stale: no evidence of freshness yet"
	}
	return fmt.Sprintf("configuration is stale: evidence is %d ms old", e.Age.Milliseconds())
}

func isHeartbeat(key string) bool { return strings.HasPrefix(key, HeartbeatPrefix) }
