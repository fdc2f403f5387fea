// Package config keeps every instance at the latest operators' configuration
// and knows how fresh that knowledge is. A few instances in each failure domain
// watch the store and the others hear from peers. The package does not interpret
// records.
package config

import (
	"fmt"
	"strings"
	"time"

	"samphirehitch.example/samphirehitch/process/store"
)

// Prefix is the store prefix of all configuration, config/<kind>/<id>.
const Prefix = "config/"

// HeartbeatPrefix is the store prefix of the keys by whose writes watchers prove
// that they reach the store. It lies below Prefix, so that a watch which shows a
// heartbeat has shown every earlier change of the configuration.
const HeartbeatPrefix = Prefix + "heartbeat/"

// State is the configuration as of a revision.
type State struct {
	// Revision is at or after the last change that the state holds; no change
	// lies between the two.
	Revision store.Revision
	// Entries holds the records in the order of their keys. It is shared and
	// immutable.
	Entries []store.Entry
}

// StaleError reports that this instance cannot show that its configuration is
// recent, so that keyed routes fail closed.
type StaleError struct {
	// Age is the age of the evidence, or negative when there is none.
	Age time.Duration
}

// Error states the age of the evidence.
func (e *StaleError) Error() string {
	if e.Age < 0 {
		return "configuration is stale: no evidence of freshness yet"
	}
	return fmt.Sprintf("configuration is stale: evidence is %d ms old", e.Age.Milliseconds())
}

func isHeartbeat(key string) bool { return strings.HasPrefix(key, HeartbeatPrefix) }
