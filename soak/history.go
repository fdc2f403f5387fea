package soak

import (
	"fmt"
	"slices"
	"strconv"
	"sync"
	"time"

	"samphirehitch.example/samphirehitch/platform/platformtest"
)

// consistencyLevel is the guarantee of a database for its reads, under the name that the
// configuration uses.
type consistencyLevel string

const (
	// levelPrimary reads see every acknowledged write.
	levelPrimary consistencyLevel = "primary"
	// levelBounded reads see every write acknowledged more than maxStaleness before.
	levelBounded consistencyLevel = "bounded"
	// levelSession reads additionally see every acknowledged write of their own session.
	levelSession consistencyLevel = "session"
)

// maxStaleness is the staleness bound of bounded and session reads in the configuration
// of the soak test.
const maxStaleness = 1500 * time.Millisecond

// resumeTolerance is how long after a disturbance, a suspension of its process or a fault
// of its network, an instance may still use a replaced primary. The platform's documentation
// excludes commits within this time from the guarantee that there is a single primary.
const resumeTolerance = 300 * time.Millisecond

// writeAttempt is one attempt to write a value to an item, with its outcome as the caller
// saw it. The outcome is unknown if neither flag is set.
type writeAttempt struct {
	// data is the written value, unique in the run.
	data string
	// acknowledged is set if the response reported success; reportedNotApplied is set if
	// the response was an error that rules out that the write was applied, or if the
	// transaction's COMMIT was never sent.
	acknowledged, reportedNotApplied bool
	// at is when the outcome was known.
	at time.Time
	// connection numbers the connections of one caller; each is a session.
	connection int
}

// readResult is one successful read of an item.
type readResult struct {
	item, data string
	level      consistencyLevel
	startedAt  time.Time
	connection int
	// acknowledgedBefore holds the recent writes of the item that had been acknowledged
	// when the read started.
	acknowledgedBefore []writeAttempt
}

// sentStatement is a statement that a caller sent.
type sentStatement struct {
	customer, text string
	at             time.Time
	// session is what the caller's session holds, nil if it is not checked.
	session *sessionState
	// response is set if the statement succeeded.
	response *platformtest.Response
}

// history records what callers sent and received during a run, for the check at its end.
// The methods that add to it and successes are safe for concurrent use.
type history struct {
	// mu guards all fields.
	mu     sync.Mutex
	writes []writeAttempt
	reads  []readResult
	// statements holds every statement by its ID.
	statements map[string]sentStatement
	// keyWithdrawnAt holds, by customer, when the customer's key was withdrawn.
	keyWithdrawnAt map[string]time.Time
	// protocolErrors are what daemons sent to callers against the protocol.
	protocolErrors []string
	// disturbances are the times at which a suspension or a fault of the network was injected
	// or reverted.
	disturbances []time.Time
	// successCount counts reads and acknowledged writes.
	successCount int
	// lossRecord holds what the check for unanswered statements needs.
	lossRecord
}

func newHistory() *history {
	return &history{statements: make(map[string]sentStatement), keyWithdrawnAt: make(map[string]time.Time)}
}

func (h *history) addStatement(id, customer, text string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.statements[id] = sentStatement{customer: customer, text: text, at: time.Now()}
}

func (h *history) addWrite(w writeAttempt) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.writes = append(h.writes, w)
	if w.acknowledged {
		h.successCount++
	}
}

func (h *history) addRead(read readResult) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reads = append(h.reads, read)
	h.successCount++
}

// addDisturbance records that a suspension or a fault of the network is injected or reverted
// now.
func (h *history) addDisturbance() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.disturbances = append(h.disturbances, time.Now())
}

func (h *history) successes() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.successCount
}

// check compares what callers saw with what the groups committed and executed, and
// returns the violations of the guarantees. Each starts with the name of the guarantee:
//
//   - TWICE: no write is committed more than once.
//   - LOST: every acknowledged write was committed, and around a termination no statement
//     that the daemon took is left unanswered, see checkUnanswered.
//   - REFUSED: no write that was reported as not applied was committed.
//   - ONE: no write is acknowledged that was committed at a replaced primary, except
//     shortly after a disturbance, and fencing tokens never decrease. See also checkRecords.
//   - STALE: every read sees the writes that its consistency level requires.
//   - LOST and STALE in addition for what promotions keep and bring back, see checkPromotions.
//   - UNASKED: targets execute only statements that callers sent, unchanged and for the
//     caller's own customer.
//   - MIXED: a caller gets the rows and the signature that a target produced for its statement.
//   - PINNED: statements are executed with the values and prepared statements of their session.
//   - CONFIG: no statement is executed that was sent more than maxRevocationDelay after
//     its customer's key was withdrawn.
func (h *history) check(groups []*platformtest.Group) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := checker{history: h, commitCounts: make(map[string]int), logPositions: make(map[string]int), supersededAt: make(map[string]time.Time)}
	for _, g := range groups {
		for _, w := range g.Committed() {
			c.commitCounts[w.Data]++
			if w.Superseded {
				c.supersededAt[w.Data] = w.At
			}
		}
		for i, w := range g.PrimaryLog() {
			c.logPositions[w.Data] = i + 1
		}
	}
	c.checkWrites()
	c.checkUnanswered(groups)
	c.checkResponses(groups)
	for _, read := range h.reads {
		c.checkRead(read)
	}
	for _, g := range groups {
		c.checkPromotions(g)
		c.checkExecutions(g.ExecutedStatements())
		for _, err := range g.ProtocolErrors() {
			c.addViolation("UNASKED: %v", err)
		}
		if tokens := g.Tokens(); !slices.IsSorted(tokens) {
			c.addViolation("ONE: fencing tokens of %s: %v", g.Service, tokens)
		}
	}
	return c.violations
}

// checker holds the state of one check. The maps are keyed by written value.
type checker struct {
	*history
	// commitCounts counts the commits of a value in all terms. logPositions is its
	// position, from 1, in the log of the group's leader; a value that was not committed
	// or that a promotion discarded has none.
	commitCounts, logPositions map[string]int
	// supersededAt is when a value was committed at a member while another one was already
	// the primary of a later term.
	supersededAt map[string]time.Time
	violations   []string
}

func (c *checker) addViolation(format string, arguments ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, arguments...))
}

// escape returns a value without bytes that cannot be printed.
func escape(value string) string {
	quoted := strconv.Quote(value)
	return quoted[1 : len(quoted)-1]
}

// checkWrites compares the outcome of each write attempt with the commits of its value.
func (c *checker) checkWrites() {
	for _, w := range c.writes {
		commits := c.commitCounts[w.data]
		supersededAt, superseded := c.supersededAt[w.data]
		switch {
		case commits > 1:
			c.addViolation("TWICE: %s was committed %d times", escape(w.data), commits)
		case w.acknowledged && commits == 0:
			c.addViolation("LOST: %s was acknowledged and never committed", escape(w.data))
		case w.acknowledged && superseded && !c.disturbedBefore(supersededAt):
			c.addViolation("ONE: %s was committed at a replaced primary and acknowledged", escape(w.data))
		case commits > 0 && w.reportedNotApplied:
			c.addViolation("REFUSED: %s was committed although its caller received an error that rules this out", escape(w.data))
		}
	}
}

// disturbedBefore reports whether a disturbance occurred at most resumeTolerance before a time.
func (c *checker) disturbedBefore(at time.Time) bool {
	return slices.ContainsFunc(c.disturbances, func(d time.Time) bool {
		since := at.Sub(d)
		return since >= 0 && since <= resumeTolerance
	})
}

// checkRead checks that a read returned a value at least as new as every write that its
// level requires it to see. Reads and writes of values that a promotion discarded are
// not checked. The value "-" stands for an item that was never written.
func (c *checker) checkRead(read readResult) {
	readPosition := c.logPositions[read.data]
	if read.data != "-" && readPosition == 0 {
		return // a promotion discarded the value
	}
	for _, w := range read.acknowledgedBefore {
		position := c.logPositions[w.data]
		if position == 0 || position <= readPosition {
			continue
		}
		ownWrite := read.level == levelSession && w.connection == read.connection
		if read.level == levelPrimary || ownWrite || read.startedAt.Sub(w.at) > maxStaleness {
			c.addViolation("STALE: %s read of %s returned %s after %s was acknowledged", read.level, read.item, escape(read.data), escape(w.data))
			return
		}
	}
}

// checkExecutions checks that targets executed only statements that callers sent, and
// none that was sent more than maxRevocationDelay after its customer's key was withdrawn.
func (c *checker) checkExecutions(executions []platformtest.ExecutedStatement) {
	for _, execution := range executions {
		statement, known := c.statements[execution.ID]
		switch {
		case !known:
			c.addViolation("UNASKED: %s was executed but no caller sent it", execution.ID)
		case statement.customer != execution.Customer:
			c.addViolation("UNASKED: %s of customer %s was executed for customer %s", execution.ID, statement.customer, execution.Customer)
		case !platformtest.SameStatement(statement.text, execution.Text):
			c.addViolation("UNASKED: %s was sent as %q and executed as %q", execution.ID, statement.text, execution.Text)
		}
		c.checkSession(statement, execution)
		if at, withdrawn := c.keyWithdrawnAt[statement.customer]; withdrawn && statement.at.Sub(at) > maxRevocationDelay {
			c.addViolation("CONFIG: %s of customer %s was sent %s after its key was withdrawn and executed", execution.ID, statement.customer, statement.at.Sub(at))
		}
	}
}

// maxRevocationDelay is how long instances may still accept a withdrawn key.
const maxRevocationDelay = 5 * time.Second
