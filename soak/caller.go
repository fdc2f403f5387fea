package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"samphirehitch.example/samphirehitch/platform/platformtest"
)

const (
	// answerPatience is how long a caller waits for an answer: the route's timeout,
	// doubled, and a margin.
	answerPatience = 2500 * time.Millisecond
	// thinkTime is the longest pause between a caller's operations.
	thinkTime = 30 * time.Millisecond
	// reconnectPause is the pause before another instance is tried.
	reconnectPause = 50 * time.Millisecond
	// sessionLength is how many operations a caller makes on one connection at most.
	sessionLength = 60
)

// caller is one user. It alone writes its item, through one connection after the other.
type caller struct {
	record   *record
	random   *rand.Rand
	number   int
	customer platformtest.Customer
	database platformtest.Route
	entries  []string
	item     string

	conn       *platformtest.Caller
	connection int
	operations int
	statements int
	written    int
	// acked are the writes that were acknowledged.
	acked []written
}

// run makes operations until stop is closed.
func (c *caller) run(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			if c.conn != nil {
				c.conn.Close()
			}
			return
		case <-time.After(time.Duration(c.random.Int64N(int64(thinkTime)))):
		}
		if c.conn == nil && !c.connect() {
			time.Sleep(reconnectPause)
			continue
		}
		if !c.operation() {
			c.conn.Close()
			c.conn = nil
		}
	}
}

func (c *caller) connect() bool {
	entry := c.entries[c.random.IntN(len(c.entries))]
	conn, answer, err := platformtest.DialCaller(entry, c.database.Host, c.customer.Key, answerPatience)
	if err != nil || !answer.OK() {
		return false
	}
	c.conn, c.operations = conn, 0
	c.connection++
	return true
}

// operation makes one operation. It reports whether the connection can be used on.
func (c *caller) operation() bool {
	if c.operations++; c.operations > sessionLength {
		return false
	}
	switch dice := c.random.IntN(20); {
	case dice < 10:
		return c.readItem()
	case dice < 15:
		return c.writeItem()
	case dice < 16:
		return c.prepareAndWrite()
	default:
		return c.transaction(dice == 19)
	}
}

// do sends a statement. It is not ok when no answer came.
func (c *caller) do(text string) (platformtest.Response, bool) {
	c.statements++
	id := fmt.Sprintf("c%d.%d", c.number, c.statements)
	c.record.sending(id, c.customer.Name, text)
	answer, err := c.conn.Do(id, text, answerPatience)
	return answer, err == nil
}

func (c *caller) readItem() bool {
	s := seen{item: c.item, level: level(c.database.Type), began: time.Now(), connection: c.connection, before: slices.Clone(c.recent())}
	answer, ok := c.do(platformtest.ReadText(c.item))
	if ok && answer.OK() && len(answer.Rows) == 1 {
		s.data = answer.Rows[0]
		c.record.read(s)
	}
	return ok && answer.Idle()
}

// recent returns the last acknowledged writes: the newest, and enough older ones that
// one of them is not too young to be due.
func (c *caller) recent() []written { return c.acked[max(0, len(c.acked)-100):] }

func (c *caller) nextData() string {
	c.written++
	return fmt.Sprintf("d%d.%d", c.number, c.written)
}

// note records the outcome of an attempt to write.
func (c *caller) note(data string, answer platformtest.Response, ok bool) {
	w := written{data: data, acked: ok && answer.OK(), promised: ok && answer.RulesOutEffect(), at: time.Now(), connection: c.connection}
	c.record.wrote(w)
	if w.acked {
		c.acked = append(c.acked, w)
	}
}

func (c *caller) writeItem() bool {
	data := c.nextData()
	answer, ok := c.do(platformtest.WriteText(c.item, data))
	c.note(data, answer, ok)
	return ok && answer.Idle()
}

func (c *caller) prepareAndWrite() bool {
	if answer, ok := c.do(platformtest.PrepareText); !ok || !answer.OK() {
		return false
	}
	data := c.nextData()
	answer, ok := c.do(platformtest.ExecuteText(c.item, data))
	c.note(data, answer, ok)
	return ok && answer.Idle()
}

// transaction writes within a transaction. An attempt that its caller gave up, or whose
// COMMIT was not sent, is one that keeps nothing.
func (c *caller) transaction(giveUp bool) bool {
	if answer, ok := c.do(platformtest.BeginText); !ok || !answer.OK() {
		return ok && answer.Idle()
	}
	data := c.nextData()
	answer, ok := c.do(platformtest.WriteText(c.item, data))
	if !ok || !answer.OK() || giveUp {
		c.record.wrote(written{data: data, promised: true, at: time.Now(), connection: c.connection})
		if !ok {
			return false
		}
		answer, ok = c.do(platformtest.RollbackText)
		return ok && answer.Idle()
	}
	answer, ok = c.do(platformtest.CommitText)
	c.note(data, answer, ok)
	return ok && answer.Idle()
}
