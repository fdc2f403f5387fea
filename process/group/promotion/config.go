package promotion

import (
	"time"

	"samphirehitch.example/samphirehitch/process/platform"
	"samphirehitch.example/samphirehitch/process/topology"
)

// Config holds the identity of an instance and the intervals of its coordinator.
type Config struct {
	Self   topology.InstanceID
	Domain topology.FailureDomain
	// DetectionTimeout is how long the primary must not have responded to status
	// requests before this instance suspects it. MinMissedResponses is how many
	// requests in a row must have got no response in that time.
	DetectionTimeout   time.Duration
	MinMissedResponses int
	// SupportTimeout is how long the primary must not have responded to status
	// requests before this instance supports another instance's suspicion.
	SupportTimeout time.Duration
	// MaxStatusAge is how long a status counts as current, from the time at which
	// it was requested.
	MaxStatusAge time.Duration
	// StallTimeout is how long the primary's log may be ahead of every majority
	// while no replica's log grows. Each promotion for this cause raises the
	// timeout, up to MaxStallTimeout, because another primary does not help
	// replicas that are slow to receive. It is reset StallTimeoutResetAfter after
	// it was last raised.
	StallTimeout           time.Duration
	MaxStallTimeout        time.Duration
	StallTimeoutResetAfter time.Duration
	// HeadlessTimeout is how long a majority may respond without naming a primary
	// before this instance takes over a promotion that another instance seems to
	// have abandoned.
	HeadlessTimeout time.Duration
	// SplitTimeout is how long a member may be fenced at a term above the primary's
	// before another promotion brings the group to one term again. Such a member
	// accepts no log from the primary.
	SplitTimeout time.Duration
	// HandoverDelay is how long a primary must be leaving before another member is
	// promoted. MinHandoverInterval is the minimum time between two attempts.
	HandoverDelay       time.Duration
	MinHandoverInterval time.Duration
	// ObservationInterval is the interval of observation requests to the peers
	// during a suspicion. MaxObservationAge is how long a peer's observation
	// counts, from the time at which it was requested.
	ObservationInterval time.Duration
	MaxObservationAge   time.Duration
	// UnsupportedTimeout is how long an instance suspects the primary before it
	// acts without the support of a second failure domain, provided that no domain
	// observes a primary.
	UnsupportedTimeout time.Duration
	// ClaimTimeout bounds one attempt at the claim. While another instance holds
	// the claim, attempts are ClaimRetryInterval apart and go on for MaxClaimWait.
	ClaimTimeout       time.Duration
	ClaimRetryInterval time.Duration
	MaxClaimWait       time.Duration
	// An instance that promotes without a claim waits RankDelay for each watcher
	// of higher rank, plus a random time up to MaxRankJitter.
	RankDelay     time.Duration
	MaxRankJitter time.Duration
	// FenceTimeout bounds the fencing phase and PromoteTimeout the promoting phase.
	// FenceGracePeriod is how long the coordinator waits for a better candidate
	// after a majority is fenced.
	FenceTimeout     time.Duration
	FenceGracePeriod time.Duration
	PromoteTimeout   time.Duration
	// RetryBackoff is the minimum wait after a failed promotion. A random time of
	// up to the same length is added.
	RetryBackoff time.Duration
	// ResumeTimeout bounds the wait until a majority reports the new primary.
	ResumeTimeout time.Duration
}

// DefaultConfig returns intervals for status requests that are sent every 150 ms
// and time out after 200 ms.
func DefaultConfig(self topology.InstanceID, domain topology.FailureDomain) Config {
	return Config{
		Self:                   self,
		Domain:                 domain,
		DetectionTimeout:       450 * time.Millisecond,
		MinMissedResponses:     2,
		SupportTimeout:         250 * time.Millisecond,
		MaxStatusAge:           400 * time.Millisecond,
		StallTimeout:           time.Second,
		MaxStallTimeout:        10 * time.Second,
		StallTimeoutResetAfter: 5 * time.Minute,
		HeadlessTimeout:        300 * time.Millisecond,
		SplitTimeout:           2 * time.Second,
		HandoverDelay:          300 * time.Millisecond,
		MinHandoverInterval:    5 * time.Second,
		ObservationInterval:    50 * time.Millisecond,
		MaxObservationAge:      300 * time.Millisecond,
		UnsupportedTimeout:     5 * time.Second,
		ClaimTimeout:           400 * time.Millisecond,
		ClaimRetryInterval:     200 * time.Millisecond,
		MaxClaimWait:           time.Second,
		RankDelay:              120 * time.Millisecond,
		MaxRankJitter:          80 * time.Millisecond,
		FenceTimeout:           300 * time.Millisecond,
		FenceGracePeriod:       100 * time.Millisecond,
		PromoteTimeout:         800 * time.Millisecond,
		RetryBackoff:           150 * time.Millisecond,
		ResumeTimeout:          2 * time.Second,
	}
}

// Target is one member of the group.
type Target struct {
	platform.Target
	// Leaving is set when the service's record marks the member as leaving.
	Leaving bool
}

// Peer is an instance that can watch groups.
type Peer struct {
	ID     topology.InstanceID
	Domain topology.FailureDomain
}
