package soak

import (
	"time"

	"samphirehitch.example/samphirehitch/platform/platformtest"
)

const (
	// maxPatientThinkTime bounds the delay between the operations of callers in a run with
	// planned stops only.
	maxPatientThinkTime = 150 * time.Millisecond
	// maxTransactionPause bounds the pauses between the statements of a transaction.
	// Pauses of slow transactions take at least half of it.
	maxTransactionPause = 400 * time.Millisecond
	// maxTransactionStatements is the number of statements, without the first and the
	// last one, of the longest transaction.
	maxTransactionStatements = 10
)

// runPatientOperation performs a random operation of a run with planned stops only: of 20,
// 6 are reads, 4 are writes, 1 is a prepared write and 9 are long transactions. It reports
// whether the connection is usable afterwards.
func (c *caller) runPatientOperation() bool {
	switch draw := c.random.IntN(20); {
	case draw < 6:
		return c.readItem()
	case draw < 10:
		return c.writeItem()
	case draw < 11:
		return c.prepareAndWrite()
	default:
		return c.runTransaction(draw >= 18, draw < 14)
	}
}

// runTransaction runs a transaction of several statements with pauses between them, and
// rolls it back if abandon is set. Its writes must not be applied unless COMMIT was sent.
func (c *caller) runTransaction(abandon, readOnly bool) bool {
	begin := platformtest.BeginText
	if readOnly {
		begin = platformtest.BeginReadText
	}
	read := c.startRead()
	c.transactionBegunAt = read.startedAt
	defer func() { c.transactionBegunAt = time.Time{} }()
	if response, ok := c.execute(begin); !ok || !response.OK() {
		return ok && response.Idle()
	}
	values, response, ok := c.runTransactionStatements(read, readOnly)
	if !ok || !response.OK() || abandon || c.endedInTransaction() {
		for _, value := range values {
			c.history.addWrite(writeAttempt{data: value, reportedNotApplied: true, at: time.Now(), connection: c.connectionNumber})
		}
		if ok {
			response, ok = c.executeUnlessEnded(platformtest.RollbackText)
		}
		return ok && response.Idle()
	}
	response, ok = c.execute(platformtest.CommitText)
	for _, value := range values {
		c.recordWrite(value, response, ok)
	}
	return ok && response.Idle()
}

// runTransactionStatements runs the statements between the first and the last one of a
// transaction, up to the first that fails. It returns the values that were written and the
// outcome of the last statement. A read has to see what was acknowledged before the
// transaction, which is in read.
func (c *caller) runTransactionStatements(read readResult, readOnly bool) (values []string, response platformtest.Response, ok bool) {
	shape := c.drawShape()
	pause := func() { time.Sleep(shape.minPause + below(c.random, shape.maxPause-shape.minPause)) }
	for range shape.statements {
		pause()
		text := platformtest.ReadText(c.item)
		if !readOnly && c.random.IntN(2) == 0 {
			values = append(values, c.nextValue())
			text = platformtest.WriteText(c.item, values[len(values)-1])
		}
		if response, ok = c.executeUnlessEnded(text); !ok || !response.OK() {
			return values, response, ok
		}
		if len(response.Rows) == 1 {
			read.data = response.Rows[0]
			c.history.addRead(read)
		}
	}
	pause()
	return values, response, ok
}

// transactionShape is the number of statements of a transaction, without the first and the
// last one, and the range of the pauses around them.
type transactionShape struct {
	statements         int
	minPause, maxPause time.Duration
}

// lingeringShape is the shape of the transactions of lingering callers, which outlive the time
// for which a withdrawn key may still be accepted.
var lingeringShape = transactionShape{maxTransactionStatements, 700 * time.Millisecond, 900 * time.Millisecond}

// drawShape returns the shape of the next transaction. Without lingering, every other one is
// slow and lasts for several seconds.
func (c *caller) drawShape() transactionShape {
	if c.lingering {
		return lingeringShape
	}
	shape := transactionShape{1 + c.random.IntN(maxTransactionStatements), 0, maxTransactionPause}
	if c.random.IntN(2) == 0 {
		shape.statements, shape.minPause = maxTransactionStatements, maxTransactionPause/2
	}
	return shape
}

// executeUnlessEnded executes a statement unless the daemon has closed the connection.
func (c *caller) executeUnlessEnded(text string) (platformtest.Response, bool) {
	if c.endedInTransaction() {
		return platformtest.Response{}, false
	}
	return c.execute(text)
}

// endedInTransaction reports, and records, that the daemon has closed the connection.
func (c *caller) endedInTransaction() bool {
	ended := c.conn.Ended()
	if ended {
		c.history.addTransactionCut()
	}
	return ended
}
