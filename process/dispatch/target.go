package dispatch

import (
	"math"
	"time"

	"samphirehitch.example/samphirehitch/process/directory"
)

// Figures about targets.
const (
	// initialLatency is the latency assumed of a target that has not answered.
	initialLatency = 20 * time.Millisecond
	// latencyMemory is how fast the latency of an unused target falls back, so
	// that one that was slow is tried again.
	latencyMemory = 2 * time.Second
	// handshakeCost is the expected cost of a new connection: 12 ms of a slot and
	// a round trip.
	handshakeCost = 15 * time.Millisecond
	// otherDomainCost is what a target in another failure domain costs more.
	otherDomainCost = 3 * time.Millisecond
	// primaryCost keeps reads that replicas can serve away from the primary,
	// which alone can serve the others.
	primaryCost = 25 * time.Millisecond
	// firstBackoff and longestBackoff bound the pause after a failed connection.
	firstBackoff   = 100 * time.Millisecond
	longestBackoff = 800 * time.Millisecond
	// fullPause is how long a target that is full is asked for no more connections:
	// others close theirs at the next division, dead ones go after 3 s.
	fullPause = 400 * time.Millisecond
	// lagRetry is how long a replica that refused for lag is left out when the
	// request at hand needs as much.
	lagRetry = 200 * time.Millisecond
	// lagMargin is added to a replica's estimated lag.
	lagMargin = 10 * time.Millisecond
	// lagMemory is the time constant with which an estimate of the lag fades while
	// the replica is not asked: one that has caught up says so only when asked.
	lagMemory = 500 * time.Millisecond
	// longestLag bounds the estimate, so that it fades to what reads need soon.
	longestLag = 5 * time.Second
)

// target is what a service's dispatcher knows of one target.
type target struct {
	directory.Target
	links []*link
	// opening counts connections that are being opened.
	opening int
	// running counts statements in flight from here.
	running int
	// latency is the moving average of answers' times.
	latency  time.Duration
	latestAt time.Duration
	// lag is how far the replica trailed at lagAt, as estimated from its answers.
	lag, lagAt time.Duration
	// laggingUntil and laggingFor say that reads of a floor younger than
	// laggingFor are not tried before laggingUntil.
	laggingUntil, laggingFor time.Duration
	failures                 int
	downUntil                time.Duration
	// fullUntil is until when the target accepts no more than fullAt connections of
	// this instance.
	fullUntil time.Duration
	fullAt    int
	// gone targets take no new work and close their connections.
	gone bool
}

// expectedLatency decays towards the initial value while nothing is heard.
func (t *target) expectedLatency(now time.Duration) time.Duration {
	if t.latency == 0 {
		return initialLatency
	}
	age := now - t.latestAt
	if age >= latencyMemory || t.latency <= initialLatency {
		if t.latency <= initialLatency {
			return t.latency
		}
		return initialLatency
	}
	return initialLatency + time.Duration(float64(t.latency-initialLatency)*(1-float64(age)/float64(latencyMemory)))
}

// observe takes the time of one answer.
func (t *target) observe(now, took time.Duration) {
	if t.latency == 0 {
		t.latency = took
	} else {
		t.latency += (took - t.latency) / 8
	}
	t.latestAt = now
}

// holds estimates whether a replica's log reaches a floor that was evident at
// the primary at the given time.
func (t *target) holds(now, floorAt time.Duration) bool {
	age := now - floorAt
	if now < t.laggingUntil && age <= t.laggingFor {
		return false
	}
	return age >= t.expectedLag(now)+lagMargin
}

// expectedLag is the estimate of the lag, faded by the time since the last answer
// beyond what lies between two answers of a replica in use.
func (t *target) expectedLag(now time.Duration) time.Duration {
	unheard := now - t.lagAt - lagRetry
	if unheard <= 0 {
		return t.lag
	}
	return time.Duration(float64(t.lag) * math.Exp(-float64(unheard)/float64(lagMemory)))
}

// refusedForLag notes that the target lacked a floor of the given age.
func (t *target) refusedForLag(now, floorAt time.Duration) {
	t.laggingFor = now - floorAt
	t.laggingUntil = now + lagRetry
	t.lag, t.lagAt = min(max(t.lag, t.laggingFor), longestLag), now
}

// observeLag takes an estimate of the lag.
func (t *target) observeLag(now, lag time.Duration) {
	t.lag += (min(lag, longestLag) - t.lag) / 4
	t.lagAt = now
}

// failed notes a connection that could not be opened or broke.
func (t *target) failed(now time.Duration) {
	backoff := min(firstBackoff<<min(t.failures, 8), longestBackoff)
	t.failures++
	t.downUntil = now + backoff
}

func (t *target) usable(now time.Duration) bool {
	return !t.gone && !t.Draining && now >= t.downUntil
}

// pick returns the idle link that serves the request best.
func (t *target) pick(r *Request) *link {
	var best *link
	for _, l := range t.links {
		if !l.idle || l.customer != r.Customer {
			continue
		}
		if l.session == r.Session {
			return l
		}
		if best == nil || l.lastUsed > best.lastUsed {
			best = l
		}
	}
	return best
}

// coldest returns the idle link that was not used for longest.
func (t *target) coldest() *link {
	var coldest *link
	for _, l := range t.links {
		if l.idle && (coldest == nil || l.lastUsed < coldest.lastUsed) {
			coldest = l
		}
	}
	return coldest
}

func (t *target) remove(l *link) {
	for i, other := range t.links {
		if other == l {
			t.links = append(t.links[:i], t.links[i+1:]...)
			return
		}
	}
}
