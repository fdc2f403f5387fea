// Package oracle checks the history of a run: the results that callers saw, against
// the guarantees that samphirehitch gives them. It has no connections of its own; the
// load tool reports when requests start, their outcomes and what they read. Times are
// offsets from the start of the load.
//
// Two kinds of rows make results checkable. A counter changes only by increments, so
// that each value read shows how many of them are visible. An inserted row has a key
// that is used once, so that it is either absent or holds the one value written.
package oracle

import (
	"fmt"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Outcome is what a caller knows about the effect of its request.
type Outcome uint8

// Outcomes.
const (
	// Confirmed means that the response reported success.
	Confirmed Outcome = iota + 1
	// NotRun means that the response said so, or that nothing was sent.
	NotRun
	// Unknown means that the request may or may not have run.
	Unknown
)

// String returns the outcome's name in reports.
func (o Outcome) String() string {
	switch o {
	case Confirmed:
		return "confirmed"
	case NotRun:
		return "not run"
	case Unknown:
		return "unknown"
	default:
		return "undefined"
	}
}

// Rule is a property that every run must keep.
type Rule string

// Rules.
const (
	// RuleReadYourWrites: a session sees its own confirmed writes.
	RuleReadYourWrites Rule = "read_your_writes"
	// RuleMaxAge: a session that states a maximum age sees every write that was
	// confirmed longer ago.
	RuleMaxAge Rule = "stated_age"
	// RuleCorrectValue: a read or an increment returns what the row can hold.
	RuleCorrectValue Rule = "right_answer"
	// RuleLostWrite: confirmed writes are in the final state.
	RuleLostWrite Rule = "lost_write"
	// RuleDuplicateWrite: no write takes effect more than once.
	RuleDuplicateWrite Rule = "doubled_write"
	// RuleNotRun: an insert reported as not run has no effect.
	RuleNotRun Rule = "not_run"
	// RuleAtomicity: the two rows of a transaction exist both or not at all.
	RuleAtomicity Rule = "atomic"
	// RuleRate: a customer's requests stay within its rate and burst.
	RuleRate Rule = "rate"
	// RuleWithdrawnKey: a withdrawn key does not work after the grace period.
	RuleWithdrawnKey Rule = "withdrawn_key"
	// RuleKeyLeak: targets do not receive callers' keys.
	RuleKeyLeak Rule = "key_secret"
)

// Violation is one observed breach of a rule.
type Violation struct {
	Rule   Rule          `json:"rule"`
	At     time.Duration `json:"at_nanos"`
	Key    string        `json:"key,omitempty"`
	Detail string        `json:"detail"`
}

// Session identifies a session, which must see its own writes. A caller that gives up
// its floor, by reconnecting without a token while it states a maximum age, continues
// as a new session.
type Session string

// Oracle holds the history of the rows of one service and the violations found in
// it. It is safe for concurrent use.
type Oracle struct {
	mu struct {
		sync.Mutex
		counters     map[string]*counter
		inserts      map[string]*insertedRow
		transactions [][2]string
		violations   []Violation
	}
}

// counter is the history of a row that only increments change.
type counter struct {
	// started counts all increments. Those that are neither confirmed nor notRun
	// are in progress or of unknown outcome.
	started   int
	confirmed int
	notRun    int
	// confirmedBy counts the confirmed increments of each session.
	confirmedBy map[Session]int
	// confirmedAt holds the times at which increments were confirmed, in ascending
	// order.
	confirmedAt []time.Duration
}

// insertedRow is the history of a row that a single insert writes. The outcome is zero
// while the insert is in progress.
type insertedRow struct {
	session    Session
	value      string
	outcome    Outcome
	finishedAt time.Duration
}

// New returns an oracle with an empty history.
func New() *Oracle {
	o := &Oracle{}
	o.mu.counters = make(map[string]*counter)
	o.mu.inserts = make(map[string]*insertedRow)
	return o
}

// counter returns the history of a counter, which it creates if necessary. The caller
// holds the lock.
func (o *Oracle) counter(key string) *counter {
	c := o.mu.counters[key]
	if c == nil {
		c = &counter{confirmedBy: make(map[Session]int)}
		o.mu.counters[key] = c
	}
	return c
}

// StartIncrement records that an increment is about to be sent.
func (o *Oracle) StartIncrement(key string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.counter(key).started++
}

// FinishIncrement records the outcome of an increment.
func (o *Oracle) FinishIncrement(session Session, key string, now time.Duration, outcome Outcome) {
	o.mu.Lock()
	defer o.mu.Unlock()
	c := o.counter(key)
	switch outcome {
	case Confirmed:
		c.confirmed++
		c.confirmedBy[session]++
		index, _ := slices.BinarySearch(c.confirmedAt, now)
		c.confirmedAt = slices.Insert(c.confirmedAt, index, now)
	case NotRun:
		c.notRun++
	}
}

// StartInsert records that a row is about to be inserted. Its key must not have been
// used before.
func (o *Oracle) StartInsert(session Session, key, value string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.mu.inserts[key] = &insertedRow{session: session, value: value}
}

// FinishInsert records the outcome of an insert.
func (o *Oracle) FinishInsert(key string, now time.Duration, outcome Outcome) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.mu.inserts[key].outcome = outcome
	o.mu.inserts[key].finishedAt = now
}

// RecordTransaction records that two inserts belong to one transaction, so that
// neither row may exist without the other.
func (o *Oracle) RecordTransaction(first, second string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.mu.transactions = append(o.mu.transactions, [2]string{first, second})
}

// ReportDuplicateKey reports that the insert of a key failed because its row existed
// already. Keys are used once, so that the insert must have run twice.
func (o *Oracle) ReportDuplicateKey(key string, now time.Duration) {
	o.Report(Violation{RuleDuplicateWrite, now, key, "the only insert of the key found its row present already"})
}

// Expectation is what a read must and must not see, as of just before it is sent.
type Expectation struct {
	key string
	// ownIncrements and agedIncrements are lower bounds on a counter: the number of
	// confirmed increments of the session itself, and of those of all sessions that
	// were confirmed longer ago than the maximum age.
	ownIncrements  int
	agedIncrements int
	// mustExist and mustNotExist say what is required of an inserted row. At most
	// one of them is set.
	mustExist    bool
	mustNotExist bool
	// missingRule is the rule that is violated when a required row is missing.
	missingRule Rule
}

// Expect returns what a read that starts now must see. maxAge is the maximum age of
// data that the session states, or negative when it states none; then nothing is
// required of other sessions' writes.
func (o *Oracle) Expect(session Session, key string, now, maxAge time.Duration) Expectation {
	o.mu.Lock()
	defer o.mu.Unlock()
	e := Expectation{key: key}
	if c := o.mu.counters[key]; c != nil {
		e.ownIncrements = c.confirmedBy[session]
		if maxAge >= 0 {
			e.agedIncrements, _ = slices.BinarySearch(c.confirmedAt, now-maxAge)
		}
	}
	if row := o.mu.inserts[key]; row != nil {
		sameSession := row.session == session
		oldEnough := maxAge >= 0 && row.finishedAt < now-maxAge
		e.mustExist = row.outcome == Confirmed && (sameSession || oldEnough)
		e.mustNotExist = row.outcome == NotRun
		e.missingRule = RuleMaxAge
		if sameSession {
			e.missingRule = RuleReadYourWrites
		}
	}
	return e
}

// ReadResult is what a read returned. Source says, for reports, which session read it
// and from which kind of target.
type ReadResult struct {
	Value  string
	Found  bool
	Source string
}

// CheckRead compares the result of a read with its expectation.
func (o *Oracle) CheckRead(e Expectation, result ReadResult, now time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	var rule Rule
	var detail string
	if row := o.mu.inserts[e.key]; row != nil {
		rule, detail = checkInsert(e, row, result)
	} else {
		rule, detail = checkCounter(e, o.counter(e.key), result)
	}
	if rule != "" {
		o.addViolation(Violation{rule, now, e.key, detail + "; " + result.Source})
	}
}

// checkInsert returns the violated rule and a description, or empty strings.
func checkInsert(e Expectation, row *insertedRow, result ReadResult) (Rule, string) {
	switch {
	case result.Found && result.Value != row.value:
		return RuleCorrectValue, fmt.Sprintf("read %q, the insert wrote %q", result.Value, row.value)
	case !result.Found && e.mustExist:
		return e.missingRule, "the row of a confirmed insert is not visible"
	case result.Found && e.mustNotExist:
		return RuleNotRun, "the row of an insert that did not run is visible"
	default:
		return "", ""
	}
}

// checkCounter returns the violated rule and a description, or empty strings. A value
// may exceed the confirmed increments, because others may have run as well.
func checkCounter(e Expectation, c *counter, result ReadResult) (Rule, string) {
	got, err := strconv.Atoi(result.Value)
	if !result.Found || err != nil {
		return RuleCorrectValue, fmt.Sprintf("read %q (row found: %t) from a counter", result.Value, result.Found)
	}
	switch maxIncrements := c.started - c.notRun; {
	case got < e.ownIncrements:
		return RuleReadYourWrites, fmt.Sprintf("read %d after %d confirmed increments of the same session", got, e.ownIncrements)
	case got < e.agedIncrements:
		return RuleMaxAge, fmt.Sprintf("read %d, but %d increments were confirmed longer ago than the maximum age", got, e.agedIncrements)
	case got > maxIncrements:
		return RuleDuplicateWrite, fmt.Sprintf("read %d, at most %d increments can have run", got, maxIncrements)
	default:
		return "", ""
	}
}

// Report adds a violation that was found outside the oracle.
func (o *Oracle) Report(v Violation) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.addViolation(v)
}

// addViolation appends a violation. The caller holds the lock.
func (o *Oracle) addViolation(v Violation) { o.mu.violations = append(o.mu.violations, v) }

// Violations returns the violations found so far.
func (o *Oracle) Violations() []Violation {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]Violation(nil), o.mu.violations...)
}
