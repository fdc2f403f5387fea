package ledger

import (
	"time"

	"samphirehitch.example/samphirehitch/process/topology"
)

// Constants of connection borrowing.
const (
	// connectionAnswerTimeout is when a connection ask counts as lost.
	connectionAnswerTimeout = 200 * time.Millisecond
	// connectionPause is the shortest time between asks to one slot.
	connectionPause = 20 * time.Millisecond
	// connectionEmptyPause is the time until a slot that had nothing to lend is
	// asked again.
	connectionEmptyPause = 100 * time.Millisecond
	// connectionRenewAfter is the age at which a loan is renewed.
	connectionRenewAfter = ConnectionTerm / 6
	// connectionUnsurePause is the time between asks that only settle what an
	// unanswered ask has done.
	connectionUnsurePause = time.Second
	// connectionIdle is how long connections must be unneeded before they are
	// given back, and a holder unused before it lends its last connection.
	connectionIdle = 3 * time.Second
	// connectionRecallPause is the time between recalls to one borrower.
	connectionRecallPause = 100 * time.Millisecond
)

// connectionSource is a slot of another instance that owns a share of the
// target's connections, with what is borrowed from it.
type connectionSource struct {
	slot   int
	holder topology.InstanceID
	units  int

	// held connections may be open. Asked is when the ask that was answered last
	// was sent; the loan ages from there.
	held  int
	epoch uint64
	asked time.Duration
	// returning of the held connections are given back once closed.
	returning int

	pending bool
	// unsure means that the last ask was not answered: the lender may count more
	// than held.
	unsure  bool
	askID   uint64
	askedAt time.Duration
	wanted  int
	nextAsk time.Duration
}

// soft is how many held connections may be used for new work.
func (s *connectionSource) soft(now time.Duration) int {
	if now-s.asked >= connectionSoftEnd {
		return 0
	}
	return s.held - s.returning
}

// hard is how many held connections may stay open while in use.
func (s *connectionSource) hard(now time.Duration) int {
	if now-s.asked >= connectionHardEnd {
		return 0
	}
	return s.held
}

// Usage is the state of a target's pool, read at one moment.
type Usage struct {
	// Limit is the limit that the pool applies, Open the connections that the
	// target may see, Wanted those that would serve all callers at once.
	Limit, Open, Wanted int
	// Applied is the sequence number of the last LimitChange that the pool had
	// applied when its state was read.
	Applied uint64
}

// connectionAccount is the state of one target on one instance.
type connectionAccount struct {
	target topology.TargetID
	total  int
	// returned is set when the target had a limit before, was removed and came
	// back: connections lent then may still be open.
	returned bool
	shares   []*share
	sources  []*connectionSource
	usage    Usage
	// usedAt is when the target was last wanted.
	usedAt time.Duration
	// peak is the most connections wanted since peakFrom, lastPeak that of the
	// period before.
	peak, lastPeak int
	peakFrom       time.Duration
	rotation       int
	// emitted numbers the limit changes, the last of which was to lastLimit.
	emitted   uint64
	lastLimit int
}

// limit is how many connections the pool may open.
func (a *connectionAccount) limit(now time.Duration) int {
	return max(a.own(now)+a.borrowed(now), 0)
}

// own is what the instance's own shares leave to it.
func (a *connectionAccount) own(now time.Duration) int {
	count := 0
	for _, s := range a.shares {
		if s.usable(now) {
			count += max(s.rest(), 0)
		}
	}
	return count
}

func (a *connectionAccount) borrowed(now time.Duration) int {
	count := 0
	for _, s := range a.sources {
		count += s.soft(now)
	}
	return count
}

// hardLimit is how many connections may stay open while in use. Own shares
// outlive their right here, since a new holder waits for connectionDelay.
func (a *connectionAccount) hardLimit(now time.Duration) int {
	count := 0
	for _, s := range a.shares {
		if now >= s.usableFrom && now-connectionSoftEnd < s.own.until {
			count += max(s.rest(), 0)
		}
	}
	for _, s := range a.sources {
		count += s.hard(now)
	}
	return count
}

// spare is how many connections the instance can lend. One that used the target
// lately keeps a connection.
func (a *connectionAccount) spare(now time.Duration, draining bool) int {
	keep := a.usage.Wanted
	if !draining && now-a.usedAt < connectionIdle {
		keep = max(keep, 1)
	}
	return max(0, min(a.own(now), a.limit(now)-keep))
}

// settled reports that the pool has applied the last limit change and keeps
// within the limit, so that promised and returned connections are closed for
// certain.
func (a *connectionAccount) settled(now time.Duration) bool {
	limit := a.limit(now)
	return a.usage.Applied == a.emitted && a.usage.Limit <= limit && a.usage.Open <= limit
}

// report takes the state of the pool.
func (a *connectionAccount) report(now time.Duration, u Usage) {
	a.usage = u
	if u.Wanted > 0 {
		a.usedAt = now
	}
	if now-a.peakFrom >= connectionIdle {
		a.peakFrom, a.lastPeak, a.peak = now, a.peak, 0
	}
	a.peak = max(a.peak, u.Wanted)
}

// expire ends the loans that are past their hard end and closed.
func (a *connectionAccount) expire(now time.Duration) {
	for _, s := range a.sources {
		if s.held > 0 && now-s.asked >= ConnectionTerm {
			s.held, s.returning = 0, 0
		}
	}
}

// release marks what is not needed for giving back.
func (a *connectionAccount) release(now time.Duration, draining bool) {
	wanted := max(a.peak, a.lastPeak)
	if draining {
		wanted = a.usage.Wanted
	}
	excess := a.limit(now) - wanted
	for _, s := range a.sources {
		back := min(excess, s.held-s.returning)
		if back > 0 {
			s.returning += back
			excess -= back
		}
	}
}

// need is how many more connections the pool wants than it may open or has
// asked for.
func (a *connectionAccount) need(now time.Duration) int {
	missing := a.usage.Wanted - a.limit(now)
	for _, s := range a.sources {
		if s.pending {
			missing -= s.wanted
		}
	}
	return missing
}

// plan decides which sources to ask.
func (a *connectionAccount) plan(now time.Duration, draining bool, ask func(*connectionSource, int)) {
	missing := a.need(now)
	settled := a.settled(now)
	for i := range a.sources {
		s := a.sources[(a.rotation+i)%len(a.sources)]
		if s.pending && now-s.askedAt >= connectionAnswerTimeout {
			s.pending, s.unsure = false, true
			s.nextAsk = now + connectionUnsurePause
		}
		if s.pending || s.holder == "" || now < s.nextAsk {
			continue
		}
		wanted := 0
		if !draining && missing > 0 {
			wanted = min(missing, s.units-s.held)
		}
		renew := s.held > 0 && now-s.asked >= connectionRenewAfter
		giveBack := s.returning > 0 && settled
		if wanted <= 0 && !renew && !giveBack && !s.unsure {
			continue
		}
		if giveBack {
			s.held -= s.returning
			s.returning = 0
		}
		missing -= max(wanted, 0)
		ask(s, max(wanted, 0))
	}
	if len(a.sources) > 0 {
		a.rotation = (a.rotation + 1) % len(a.sources)
	}
}

// granted takes an answer.
func (s *connectionSource) granted(now time.Duration, g *ConnectionGrant) {
	if !s.pending || g.ID != s.askID {
		return
	}
	s.pending, s.unsure = false, false
	s.nextAsk = now + connectionPause
	if s.wanted > 0 && g.Lent <= s.held {
		s.nextAsk = now + connectionEmptyPause
	}
	if g.Epoch == 0 || g.Lent < s.held || now-s.askedAt >= ConnectionTerm {
		return
	}
	s.held, s.epoch, s.asked = g.Lent, g.Epoch, s.askedAt
}
