package group

import (
	"time"

	"samphirehitch.example/samphirehitch/process/platform"
)

// TargetConfig is one member of a group as the service's record lists it.
type TargetConfig struct {
	platform.Target
	// Leaving is set when the record marks the member as leaving.
	Leaving bool
}

// RoundsConfig holds the intervals of Rounds.
type RoundsConfig struct {
	// HeartbeatInterval is the interval of status requests while there are no waiters.
	HeartbeatInterval time.Duration
	// MinRequestInterval is the minimum interval between two requests to a member.
	MinRequestInterval time.Duration
	// RetryInterval is the interval after a request that failed.
	RetryInterval time.Duration
	// MaxFirstSilence is the longest silence that the first failed request to a member shows: a
	// heartbeat interval and the time of a request. What is longer is due to this process.
	MaxFirstSilence time.Duration
	// MaxConfirmationAge bounds the age of the responses that confirm a commit,
	// counted from when they were requested.
	MaxConfirmationAge time.Duration
	// IdleTimeout is how long heartbeats continue after the last wait began if this
	// instance is not one of the group's watchers.
	IdleTimeout time.Duration
}

// DefaultRoundsConfig returns intervals for round trips of a few milliseconds.
func DefaultRoundsConfig() RoundsConfig {
	return RoundsConfig{
		HeartbeatInterval:  150 * time.Millisecond,
		MinRequestInterval: time.Millisecond,
		RetryInterval:      50 * time.Millisecond,
		MaxFirstSilence:    400 * time.Millisecond,
		MaxConfirmationAge: 200 * time.Millisecond,
		IdleTimeout:        5 * time.Second,
	}
}
