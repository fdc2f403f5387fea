package soak

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"samphirehitch.example/samphirehitch/platform/platformtest"
)

// level is what a database promises of its reads.
type level string

const (
	strict  level = "primary"
	bounded level = "bounded"
	session level = "session"
)

// staleness is how old bounded and session reads may be, as the configuration says.
const staleness = 1500 * time.Millisecond

// thaw is the time after a disturbance of its sender in which a commit at a replaced
// primary is not counted, as the pages state.
const thaw = 300 * time.Millisecond

// written is an attempt to change an item.
type written struct {
	data string
	// acked attempts were answered with success, promised ones with an error that says
	// that nothing is kept.
	acked, promised bool
	at              time.Time
	// connection tells sessions of one caller apart.
	connection int
}

// seen is what a read told.
type seen struct {
	item, data string
	level      level
	began      time.Time
	connection int
	// before holds the writes of the item that were acknowledged when it began.
	before []written
}

// statement is one that a caller sent.
type sent struct {
	customer, text string
	at             time.Time
}

// record is what callers saw. It is safe for concurrent use.
type record struct {
	mu           sync.Mutex
	writes       []written
	reads        []seen
	sent         map[string]sent
	withdrawn    map[string]time.Time
	disturbances []time.Time
	succeeded    int
}

func newRecord() *record {
	return &record{sent: make(map[string]sent), withdrawn: make(map[string]time.Time)}
}

func (r *record) sending(id, customer, text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent[id] = sent{customer, text, time.Now()}
}

func (r *record) wrote(w written) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.writes = append(r.writes, w)
	if w.acked {
		r.succeeded++
	}
}

func (r *record) read(s seen) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reads = append(r.reads, s)
	r.succeeded++
}

func (r *record) disturbed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.disturbances = append(r.disturbances, time.Now())
}

func (r *record) successes() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.succeeded
}

// judge compares what callers saw with what the groups hold and returns the promises
// that were broken.
func (r *record) judge(groups []*platformtest.Group) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	j := judgement{record: r, times: make(map[string]int), place: make(map[string]int), superseded: make(map[string]bool)}
	for _, g := range groups {
		for _, w := range g.Committed() {
			j.times[w.Data]++
			j.superseded[w.Data] = j.superseded[w.Data] || w.Superseded
		}
		for i, w := range g.LeaderLog() {
			j.place[w.Data] = i + 1
		}
	}
	j.judgeWrites()
	for _, s := range r.reads {
		j.judgeRead(s)
	}
	for _, g := range groups {
		j.judgeRuns(g.ExecutedStatements())
		if tokens := g.Tokens(); !slices.IsSorted(tokens) {
			j.breach("ONE: fencing tokens of %s: %v", g.Service, tokens)
		}
	}
	return j.broken
}

type judgement struct {
	*record
	// times is how often a value was committed, place where the leader's log holds it.
	times, place map[string]int
	superseded   map[string]bool
	broken       []string
}

func (j *judgement) breach(format string, arguments ...any) {
	j.broken = append(j.broken, fmt.Sprintf(format, arguments...))
}

func (j *judgement) judgeWrites() {
	for _, w := range j.writes {
		times := j.times[w.data]
		switch {
		case times > 1:
			j.breach("TWICE: %s was committed %d times", w.data, times)
		case w.acked && times == 0:
			j.breach("LOST: %s was acknowledged and never committed", w.data)
		case w.acked && j.superseded[w.data] && !j.disturbedBefore(w.at):
			j.breach("ONE: %s was committed at a replaced primary and acknowledged", w.data)
		case times > 0 && w.promised:
			j.breach("REFUSED: %s was committed and its caller told that nothing is kept", w.data)
		}
	}
}

// disturbedBefore reports a disturbance shortly before a moment.
func (j *judgement) disturbedBefore(at time.Time) bool {
	return slices.ContainsFunc(j.disturbances, func(d time.Time) bool {
		since := at.Sub(d)
		return since > -thaw && since < 2*thaw
	})
}

// judgeRead checks that a read was made on a log that holds what it must. Commits that
// a promotion has cut back do not count.
func (j *judgement) judgeRead(s seen) {
	got := j.place[s.data]
	if s.data != "-" && got == 0 {
		return // what was read has been cut back
	}
	for _, w := range s.before {
		due := j.place[w.data]
		if due == 0 || due <= got {
			continue
		}
		ownSession := s.level == session && w.connection == s.connection
		if s.level == strict || ownSession || s.began.Sub(w.at) > staleness {
			j.breach("STALE: %s read of %s gave %s after %s was acknowledged", s.level, s.item, s.data, w.data)
			return
		}
	}
}

// judgeRuns checks that targets ran only what callers with valid keys have sent.
func (j *judgement) judgeRuns(runs []platformtest.ExecutedStatement) {
	for _, run := range runs {
		s, known := j.sent[run.ID]
		switch {
		case !known:
			j.breach("UNASKED: %s ran, which nobody sent", run.ID)
		case s.customer != run.Customer:
			j.breach("UNASKED: %s of %s ran for %s", run.ID, s.customer, run.Customer)
		case !platformtest.SameStatement(s.text, run.Text):
			j.breach("UNASKED: %s was %q and ran as %q", run.ID, s.text, run.Text)
		}
		if at, gone := j.withdrawn[s.customer]; gone && s.at.Sub(at) > revokeTime {
			j.breach("CONFIG: %s of %s ran %s after its key was withdrawn", run.ID, s.customer, s.at.Sub(at))
		}
	}
}

// revokeTime is how long a withdrawn key may still be accepted.
const revokeTime = 5 * time.Second
