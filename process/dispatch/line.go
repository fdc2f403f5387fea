package dispatch

import "time"

// class tells requests apart by which targets can run them now.
type class uint8

const (
	// anywhere requests can run on a replica.
	anywhere class = iota
	// atPrimary requests can run on the primary alone, because they need it or because
	// no replica holds their floor.
	atPrimary
	classes
)

// classOf returns the class of a request.
func (d *Dispatcher) classOf(now time.Duration, r *Request) class {
	if r.NeedsPrimary {
		return atPrimary
	}
	for id, t := range d.targets {
		if id != d.primary && t.usable(now) && !r.excludes(id) && t.holds(now, r.FloorAt) {
			return anywhere
		}
	}
	return atPrimary
}

// line estimates how long requests wait behind others of their class.
type line struct {
	d   *Dispatcher
	now time.Duration
	// ahead counts the requests that are served first.
	ahead [classes]int
	// lanes are the statements in flight that the targets of a class allow, latency the
	// longest of their expected latencies.
	lanes   [classes]int
	latency [classes]time.Duration
}

func (d *Dispatcher) newLine(now time.Duration) *line {
	l := &line{d: d, now: now}
	for id, t := range d.targets {
		if !t.usable(now) {
			continue
		}
		l.add(anywhere, t)
		if id == d.primary {
			l.add(atPrimary, t)
		}
	}
	return l
}

func (l *line) add(c class, t *target) {
	l.lanes[c] += l.d.lanes(t)
	l.latency[c] = max(l.latency[c], t.expectedLatency(l.now))
}

// join puts a request into the line.
func (l *line) join(r *Request) { l.ahead[l.d.classOf(l.now, r)]++ }

// wait estimates how long a number of requests of a class take.
func (l *line) wait(c class, count int) time.Duration {
	if l.lanes[c] == 0 {
		return 0
	}
	return l.latency[c] * time.Duration(count) / time.Duration(l.lanes[c])
}

// hopeless reports that a request expires before those ahead of it are served.
func (l *line) hopeless(r *Request) bool {
	c := l.d.classOf(l.now, r)
	return l.lanes[c] > 0 && l.now+l.wait(c, l.ahead[c]) > r.Expires
}

// tooLong reports whether a request that has to wait could not be answered: within
// its objective behind the work that is due before it, or before it expires behind
// all that waits for the same targets. Late answers are worth little to callers,
// and a queue that grows beyond what its members can wait for only delays their
// refusal.
func (d *Dispatcher) tooLong(now time.Duration, r *Request) bool {
	due, all := d.newLine(now), d.newLine(now)
	for _, other := range d.queue {
		all.join(other)
		if now < other.Late && before(now, other, r) {
			due.join(other)
		}
	}
	c := d.classOf(now, r)
	lanes, latency := due.lanes[c], due.latency[c]
	if lanes == 0 {
		return false
	}
	answered := now + time.Duration(estimateMargin*float64(due.wait(c, due.ahead[c])+latency))
	return due.ahead[c] > lanes && answered > r.Late || all.hopeless(r)
}
