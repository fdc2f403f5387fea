package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"samphirehitch.example/samphirehitch/platform/platformtest"
)

const (
	// responseTimeout is how long a caller waits for a response: twice the timeout of
	// the route, and a margin.
	responseTimeout = 2500 * time.Millisecond
	// maxThinkTime bounds the random delay between operations.
	maxThinkTime = 30 * time.Millisecond
	// reconnectBackoff is the delay after a failed attempt to connect.
	reconnectBackoff = 50 * time.Millisecond
	// maxConnectionOperations is the number of operations after which a caller closes its
	// connection and connects again.
	maxConnectionOperations = 60
)

// caller simulates one caller. It is the only writer of its item and sends all operations,
// reads and writes of that item, over one connection at a time to a random instance. A
// caller is used by one goroutine.
type caller struct {
	history *history
	random  *rand.Rand
	// bytes is the random source of values, nil if they are letters and digits only.
	bytes     *rand.Rand
	number    int
	customer  platformtest.Customer
	database  platformtest.Route
	addresses []string
	// rotation returns the indices of the addresses that may get new connections.
	rotation func() []int
	item     string
	// patient callers run transactions with pauses and keep their connections until these
	// end.
	patient bool
	// lingering callers run transactions that last for longer than a withdrawn key may be
	// accepted. Those with odd numbers only read, for which no authority to use a primary is
	// needed.
	lingering bool

	conn                 *platformtest.Caller
	session              *sessionState
	daemon               int
	transactionBegunAt   time.Time
	connectionNumber     int
	connectionOperations int
	statementCount       int
	writeCount           int
	acknowledgedWrites   []writeAttempt
}

// run performs operations until stop is closed. It connects to another instance when a
// connection can no longer be used.
func (c *caller) run(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			if c.conn != nil {
				c.conn.Close()
			}
			return
		case <-time.After(below(c.random, c.thinkTimeLimit())):
		}
		if c.conn == nil && !c.connect() {
			time.Sleep(reconnectBackoff)
			continue
		}
		c.history.addUnsolicited(c.daemon, c.conn.Unsolicited())
		if c.conn.Ended() || !c.setValue() || !c.runOperation() {
			c.conn.Close()
			c.conn = nil
		}
	}
}

// thinkTimeLimit returns the limit of the delay between operations.
func (c *caller) thinkTimeLimit() time.Duration {
	if c.patient {
		return maxPatientThinkTime
	}
	return maxThinkTime
}

// connect connects to a random instance in rotation and reports whether the login succeeded.
func (c *caller) connect() bool {
	candidates := c.rotation()
	daemon := candidates[c.random.IntN(len(candidates))]
	sentAt := time.Now()
	conn, response, err := platformtest.DialCaller(c.addresses[daemon], c.database.Host, c.customer.Key, responseTimeout)
	c.history.addProtocolError(err)
	if err == nil && !response.OK() {
		c.history.addRefusal(refusal{response: response, customer: c.customer.Name, daemon: daemon, sentAt: sentAt, at: time.Now()})
	}
	if err != nil || !response.OK() {
		return false
	}
	c.conn, c.daemon, c.connectionOperations, c.session = conn, daemon, 0, newSessionState()
	c.connectionNumber++
	return true
}

// runOperation performs a random operation: of 20, 10 are reads, 5 are writes, 1 is a
// prepared write and 4 are transactions, of which 1 is rolled back. Like all operations,
// it reports whether the connection is usable afterwards: every response arrived and no
// transaction is open.
func (c *caller) runOperation() bool {
	if c.patient {
		return c.runPatientOperation()
	}
	if c.lingering {
		return c.runTransaction(false, c.number%2 == 1)
	}
	if c.connectionOperations++; c.connectionOperations > maxConnectionOperations {
		return false
	}
	switch draw := c.random.IntN(20); {
	case draw < 10:
		return c.readItem()
	case draw < 15:
		return c.writeItem()
	case draw < 16:
		return c.prepareAndWrite()
	default:
		return c.writeInTransaction(draw == 19)
	}
}

// execute records and sends a statement. It returns false if no response arrived.
func (c *caller) execute(text string) (platformtest.Response, bool) {
	c.statementCount++
	id := fmt.Sprintf("c%d.%d", c.number, c.statementCount)
	c.history.addStatement(id, c.customer.Name, text)
	c.history.addSession(id, c.session)
	sentAt := time.Now()
	response, err := c.conn.Do(id, text, responseTimeout)
	c.history.addProtocolError(err)
	switch {
	case err != nil:
		c.history.addUnanswered(unansweredStatement{id: id, text: text, daemon: c.daemon, sentAt: sentAt, endedAt: time.Now(), transactionBegunAt: c.transactionBegunAt})
	case !response.OK():
		c.history.addRefusal(refusal{response: response, customer: c.customer.Name, daemon: c.daemon, sentAt: sentAt, at: time.Now(), inTransaction: !c.transactionBegunAt.IsZero()})
	default:
		c.history.addSuccess(id, response)
		c.session = c.session.after(text)
	}
	return response, err == nil
}

// startRead returns the part of a read's result that is known when it starts.
func (c *caller) startRead() readResult {
	return readResult{item: c.item, level: consistencyLevel(c.database.Type), startedAt: time.Now(), connection: c.connectionNumber,
		acknowledgedBefore: slices.Clone(c.recentWrites())}
}

func (c *caller) readItem() bool {
	read := c.startRead()
	response, ok := c.execute(platformtest.ReadText(c.item))
	if ok && response.OK() && len(response.Rows) == 1 {
		read.data = response.Rows[0]
		c.history.addRead(read)
	}
	return ok && response.Idle()
}

// recentWrites returns the last 100 acknowledged writes. The oldest of them are older than
// maxStaleness, so that every read must see them at any consistency level.
func (c *caller) recentWrites() []writeAttempt {
	return c.acknowledgedWrites[max(0, len(c.acknowledgedWrites)-100):]
}

// nextValue returns a value that no other write of the run uses, so that the checker can
// identify each write by its value.
func (c *caller) nextValue() string {
	c.writeCount++
	value := fmt.Sprintf("d%d.%d", c.number, c.writeCount)
	if c.bytes == nil {
		return value
	}
	return c.appendBytes(value + ".") // so that no random byte continues the number
}

// recordWrite records a write attempt with its outcome: acknowledged, reported as not
// applied, or unknown.
func (c *caller) recordWrite(value string, response platformtest.Response, ok bool) {
	w := writeAttempt{data: value, acknowledged: ok && response.OK(), reportedNotApplied: ok && response.RulesOutEffect(), at: time.Now(), connection: c.connectionNumber}
	c.history.addWrite(w)
	if w.acknowledged {
		c.acknowledgedWrites = append(c.acknowledgedWrites, w)
	}
}

func (c *caller) writeItem() bool {
	value := c.nextValue()
	response, ok := c.execute(platformtest.WriteText(c.item, value))
	c.recordWrite(value, response, ok)
	return ok && response.Idle()
}

func (c *caller) prepareAndWrite() bool {
	if response, ok := c.execute(c.appendBytes(platformtest.PrepareText)); !ok || !response.OK() {
		return false
	}
	value := c.nextValue()
	response, ok := c.execute(platformtest.ExecuteText(c.item, value))
	c.recordWrite(value, response, ok)
	return ok && response.Idle()
}

// writeInTransaction writes in a transaction and commits it, or rolls it back if abandon
// is set. A write whose COMMIT was not sent must not be applied and is recorded as
// reported not applied.
func (c *caller) writeInTransaction(abandon bool) bool {
	if response, ok := c.execute(platformtest.BeginText); !ok || !response.OK() {
		return ok && response.Idle()
	}
	value := c.nextValue()
	response, ok := c.execute(platformtest.WriteText(c.item, value))
	if !ok || !response.OK() || abandon {
		c.history.addWrite(writeAttempt{data: value, reportedNotApplied: true, at: time.Now(), connection: c.connectionNumber})
		if !ok {
			return false
		}
		response, ok = c.execute(platformtest.RollbackText)
		return ok && response.Idle()
	}
	response, ok = c.execute(platformtest.CommitText)
	c.recordWrite(value, response, ok)
	return ok && response.Idle()
}
