package soak

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rotisserie/eris"

	"samphirehitch.example/samphirehitch/platform/platformtest"
)

// unusualValues are values of a last field that the protocol allows.
var unusualValues = []string{"gyj\nylw", "gyj\n", "gyj\rylw", "gyj\r", "\n\r", "gyj\x00ylw", " gyj  ylw ", "\xff\xfe\xc3(",
	"x\nCOMPLETE 1.f\nREADY I 9.9", "x\nQUERY 9 WRITE 2 z"}

// runOnNewConnection runs statements, which all have to succeed, and returns the rows of the last
// one.
func (c *caller) runOnNewConnection(texts ...string) (rows []string, err error) {
	if !c.connect() {
		return nil, eris.New("not connected")
	}
	defer c.conn.Close()
	for _, text := range texts {
		response, ok := c.execute(text)
		if !ok || !response.OK() {
			return nil, eris.Errorf("%q: answered %v, response %+v", text, ok, response)
		}
		rows = response.Rows
	}
	return rows, nil
}

// paths are the numbers of daemons of a deployment whose daemon runs all statements itself, and of
// one whose daemons forward most.
var paths = map[string]int{"own": 1, "forwarded": 4}

// forEachPath runs a part of a test for each unusual value with a caller at each daemon.
// The checks of the soak test apply to all statements.
func forEachPath(t *testing.T, run func(h *harness, c *caller, value string) []error) {
	for path, daemons := range paths {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			h, stopCallers := startServing(t, Options{Daemons: daemons, Callers: 2}, (*harness).newCaller)
			number := 100
			for _, value := range unusualValues {
				for daemon := range daemons {
					c := h.newCaller(number)
					number++
					c.customer, c.database, c.rotation = customers[0], allDatabases()[3*(daemon%2)], func() []int { return []int{daemon} }
					for _, err := range run(h, c, value) {
						t.Errorf("%q at daemon %d: %v", value, daemon+1, err)
					}
				}
			}
			stopCallers()
			for _, violation := range h.violations() {
				t.Error(violation)
			}
		})
	}
}

// A target ran the text of a write up to its first line feed.
func TestWriteWithLineFeedReachesTargetWhole(t *testing.T) {
	forEachPath(t, func(_ *harness, c *caller, value string) (failures []error) {
		write, execute := platformtest.WriteText(c.item, value), platformtest.ExecuteText(c.item, value)
		for _, texts := range [][]string{
			{write}, {platformtest.PrepareText, execute}, {"BEGIN", write, "COMMIT"}, {platformtest.PrepareText, "BEGIN", execute, "COMMIT"},
		} {
			if _, err := c.runOnNewConnection(texts...); err != nil {
				failures = append(failures, err)
			}
		}
		return failures
	})
}

// writeToPrimary writes a value to the item of a caller without a daemon.
func (h *harness) writeToPrimary(c *caller, value string) error {
	for _, group := range h.groups {
		if group.Service != c.database.Service {
			continue
		}
		conn, response, err := platformtest.DialCaller(group.CurrentPrimary().Address(), group.Service, c.customer.Name, responseTimeout)
		if err != nil || !response.OK() {
			return eris.Errorf("connect to the primary: %v, response %+v", err, response)
		}
		defer conn.Close()
		id, text := "direct-"+c.item, platformtest.WriteText(c.item, value)
		h.history.addStatement(id, c.customer.Name, text)
		response, err = conn.Do(id, text, responseTimeout)
		if err != nil || !response.OK() {
			return eris.Errorf("write to the primary: %v, response %+v", err, response)
		}
	}
	return nil
}

// A caller got a row up to its first line feed, with the signature that followed in the row.
func TestRowWithLineFeedReturnsWhole(t *testing.T) {
	forEachPath(t, func(h *harness, c *caller, value string) (failures []error) {
		if err := h.writeToPrimary(c, value); err != nil {
			return []error{err}
		}
		read := platformtest.ReadText(c.item)
		for _, texts := range [][]string{{read}, {"BEGIN", read}, {"BEGIN READ", read}, {"PREPARE r READ shape", "EXECUTE r " + c.item}} {
			if rows, err := c.runOnNewConnection(texts...); err != nil || len(rows) != 1 || rows[0] != value {
				failures = append(failures, fmt.Errorf("%q: rows %q, want %q, error %w", texts, rows, value, err))
			}
		}
		return failures
	})
}

// The proxy replays the values and shapes of a session on connections to targets.
func TestSessionWithLineFeedIsReplayedWhole(t *testing.T) {
	forEachPath(t, func(_ *harness, c *caller, value string) (failures []error) {
		for _, texts := range [][]string{
			{"SET v " + value, platformtest.ReadText(c.item)},
			{"PREPARE w WRITE " + value, "EXECUTE w " + c.item + " d"},
			{"SET v " + value, "PREPARE w WRITE " + value, "BEGIN", "EXECUTE w " + c.item + " e", "SET v " + value + "x" + value, platformtest.ReadText(c.item), "COMMIT"},
			{platformtest.ReadText(value)},
		} {
			if _, err := c.runOnNewConnection(texts...); err != nil {
				failures = append(failures, err)
			}
		}
		return failures
	})
}

// runWithStutter runs callers, in one daemon and in several, at targets that send one response in
// ten in a mode, and checks what they saw. Targets refuse every refused-th statement, none for zero.
func runWithStutter(t *testing.T, mode platformtest.StutterMode, refused int) {
	for path, daemons := range paths {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			h, stopCallers := startServing(t, Options{Daemons: daemons, Callers: 12}, (*harness).newCaller)
			stutter := platformtest.NewStutter(0.1, rand.NewPCG(1, 1), mode)
			for _, target := range h.targets {
				target.member.SetStutter(stutter)
				target.member.SetRefusing(refused)
			}
			for range 50 {
				h.awaitSuccesses()
			}
			stopCallers()
			for _, violation := range h.violations() {
				t.Error(violation)
			}
			t.Logf("%d responses chosen; %s", stutter.Count(), h.history.summary(h.groups))
		})
	}
}

// Callers got the rows and the signature of the statement that a connection had run before.
func TestResponseSentTwiceIsNotGivenToNextStatement(t *testing.T) {
	for name, mode := range map[string]platformtest.StutterMode{
		"at once": platformtest.StutterAtOnce, "while idle": platformtest.StutterIdle, "while the next is outstanding": platformtest.StutterOutstanding,
	} {
		t.Run(name, func(t *testing.T) { runWithStutter(t, mode, 0) })
	}
}

// A part of a response is neither a success nor a promise that a write did not run.
func TestResponseCutOffIsNoOutcome(t *testing.T) { runWithStutter(t, platformtest.CutOff, 4) }

// A write ran, and its caller got the second copy of the refusal of the statement before.
func TestRefusalSentTwiceIsNoPromiseForNextStatement(t *testing.T) {
	runWithStutter(t, platformtest.StutterOutstanding, 4)
}

// A key is compared whole, and what follows a line feed in it is no message.
func TestKeyWithLineFeedIsComparedWhole(t *testing.T) {
	h, stopCallers := startServing(t, Options{Daemons: 1, Callers: 2}, (*harness).newCaller)
	c := h.newCaller(100)
	added := platformtest.Customer{Name: "added", Key: "key\nQUERY 9 WRITE 2 z \r", Rate: 2000, Burst: 2000}
	if err := h.putConfiguration(2, append([]platformtest.Customer{added}, customers...)); err != nil {
		t.Fatal(err)
	}
	c.customer = added
	for deadline := time.Now().Add(routeDeadline); ; time.Sleep(reconnectBackoff) {
		// The key and the customer's rate come into force one after the other.
		_, err := c.runOnNewConnection(platformtest.ReadText(c.item), platformtest.WriteText(c.item, "d"))
		if err == nil {
			break
		}
		if time.Now().After(deadline) {
			t.Fatal(err)
		}
	}
	for _, suffix := range []string{"\nQUERY 9 WRITE 2 z", "\r", "\n", " ", "\x00"} {
		conn, response, err := platformtest.DialCaller(c.addresses[0], c.database.Host, customers[0].Key+suffix, responseTimeout)
		if err != nil || response.Code != "AUTHFAIL" {
			t.Errorf("key with %q: response %+v, error %v", suffix, response, err)
		}
		if conn != nil {
			conn.Close()
		}
	}
	stopCallers()
	for _, violation := range h.violations() {
		t.Error(violation)
	}
}
