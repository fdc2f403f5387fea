package soak

import (
	"fmt"
	"strings"
	"testing"

	"samphirehitch.example/samphirehitch/platform/platformtest"
)

// maxMessageBytes is the length of the longest message, without its CR LF.
const maxMessageBytes = 1 << 20

// longestText returns a text that starts with a prefix and makes the longest message if it is the
// caller's next statement after some others.
func (c *caller) longestText(prefix string, others int) string {
	id := fmt.Sprintf("c%d.%d", c.number, c.statementCount+others+1)
	return prefix + strings.Repeat("a", maxMessageBytes-len("QUERY "+id+" "+prefix))
}

// The longest message gets longer by a log position or by the name of a prepared statement, and
// crosses a link in one frame.
func TestLongestMessages(t *testing.T) {
	for path, daemons := range paths {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			h, stopCallers := startServing(t, Options{Daemons: daemons, Callers: 2}, (*harness).newCaller)
			for daemon := range daemons {
				c := h.newCaller(100 + daemon)
				c.customer, c.database, c.rotation = customers[0], allDatabases()[3*(daemon%2)], func() []int { return []int{daemon} }
				write := c.longestText("WRITE "+c.item+" ", 0)
				rows, err := c.runOnNewConnection(write, platformtest.ReadText(c.item))
				if err != nil || len(rows) != 1 || !strings.HasSuffix(write, " "+rows[0]) {
					t.Errorf("daemon %d: %d rows, error %.300v", daemon+1, len(rows), err)
				}
				if _, err := c.runOnNewConnection(c.longestText("READ ", 0)); err != nil {
					t.Errorf("daemon %d: longest read: %s", daemon+1, end(err))
				}
				if _, err := c.runOnNewConnection(c.longestText("SET v ", 0), platformtest.ReadText(c.item)); err != nil {
					t.Errorf("daemon %d: longest SET: %s", daemon+1, end(err))
				}
				c.checkRefusal(t, platformtest.PrepareText, "EXECUTE p "+c.item+" ", platformtest.ReadText(c.item))
				c.database = allDatabases()[3*(daemon%2)+2]
				c.checkRefusal(t, platformtest.WriteText(c.item, "d"), "READ ", platformtest.ReadText(c.item))
			}
			stopCallers()
			for _, violation := range h.violations() {
				t.Errorf("%.300s", violation)
			}
		})
	}
}

// checkRefusal checks that the longest statement with a prefix is run or refused as malformed after
// another one, and that the session goes on.
func (c *caller) checkRefusal(t *testing.T, before, prefix, after string) {
	t.Helper()
	if !c.connect() {
		t.Fatal("not connected")
	}
	defer c.conn.Close()
	for _, text := range []string{before, c.longestText(prefix, 1), after} {
		response, ok := c.execute(text)
		longest := strings.HasPrefix(text, prefix) && len(text) > len(after)
		if !ok || !response.OK() && !(longest && response.Code == "MALFORMED") {
			t.Errorf("%.20q: answered %v, response %+v", text, ok, response)
		}
	}
}

// end returns the end of the text of an error.
func end(err error) string { return err.Error()[max(0, len(err.Error())-200):] }
