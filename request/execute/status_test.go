package execute

import "testing"

// Guards against the late response to another statement, which its command tag, its messages
// or their number give away.
func TestResponseToAnotherStatementIsNotAccepted(t *testing.T) {
	read := []string{"RowDescription", "row x", "done SELECT 1", "ready I"}
	write := []string{"done INSERT 0 1", "ready I"}
	for name, c := range map[string]struct {
		query, response string
		want            []string
	}{
		"write to a read":      {"SELECT 'x'", wireInsert + wireReadyIdle, read},
		"setting to a read":    {"SELECT 'x'", "C\x00\x00\x00\x08SET\x00" + wireReadyIdle, read},
		"two to a read":        {"SELECT 'x'", wireColumn + wireOne + wireSelectOne + wireColumn + wireOne + wireSelectOne + wireReadyIdle, read},
		"empty to a read":      {"SELECT 'x'", "I\x00\x00\x00\x04" + wireReadyIdle, read},
		"copy to a read":       {"SELECT 'x'", "G\x00\x00\x00\x07\x00\x00\x00", read},
		"read to a write":      {"INSERT a", wireColumn + wireOne + wireSelectOne + wireReadyOpen, write},
		"two to a write":       {"INSERT a", wireInsert + wireInsert + wireReadyOpen, write},
		"an update":            {"INSERT a", "C\x00\x00\x00\x0dUPDATE 1\x00" + wireReadyOpen, write},
		"error behind a write": {"INSERT a", wireInsert + wireErrorBusy + wireFailed, write},
		"nothing to a write":   {"INSERT a", wireReadyOpen, write},
		"a begin to a write":   {"INSERT a", wireBegin + wireReadyOpen, write},
		"copy out to a write":  {"INSERT a", "H\x00\x00\x00\x07\x00\x00\x00c\x00\x00\x00\x04" + wireInsert + wireReadyOpen, write},
	} {
		t.Run(name, func(t *testing.T) {
			h, targets := newFakeHarness(t, 1)
			client := h.connectRaw(testKey, "")
			targets.addScript(c.query, script{response: c.response})
			client.send(queryMessage(c.query))
			client.expect(c.want...)
		})
	}
}

// Guards against the response to another statement, which a transaction status that the
// statement cannot leave gives away.
func TestContradictingStatusIsNotAccepted(t *testing.T) {
	for name, c := range map[string]struct {
		before          []string
		query, response string
		want            []string
	}{
		"read leaves a transaction open": {nil, "SELECT 'x'", wireColumn + wireOne + wireSelectOne + wireReadyOpen,
			[]string{"RowDescription", "row x", "done SELECT 1", "ready I"}},
		"error outside of a transaction fails one": {nil, "SELECT 'x'", wireErrorBusy + wireFailed,
			[]string{"RowDescription", "row x", "done SELECT 1", "ready I"}},
		"write ends the transaction of the instance": {nil, "INSERT a", wireInsert + wireReadyIdle,
			[]string{"error 08007", "ready I"}},
		"write ends the caller's transaction": {[]string{"BEGIN", "SELECT 'x'"}, "INSERT a", wireInsert + wireReadyIdle,
			[]string{"error 08007", "ready E"}},
		"first write ends the caller's transaction": {[]string{"BEGIN"}, "INSERT a", wireInsert + wireReadyIdle,
			[]string{"error 08007", "ready E"}},
		"error ends the caller's transaction": {[]string{"BEGIN", "SELECT 'x'"}, "INSERT a", wireErrorBusy + wireReadyIdle,
			[]string{"error 08007", "ready E"}},
		"commit leaves the transaction open": {[]string{"BEGIN", "INSERT b"}, "COMMIT", wireCommit + wireReadyOpen,
			[]string{"done COMMIT", "ready I"}},
		"commit rolls back": {[]string{"BEGIN", "INSERT b"}, "COMMIT", wireRollback + wireReadyIdle,
			[]string{"done COMMIT", "ready I"}},
		"unwrapped statement opens a transaction": {nil, "VACUUM a", wireVacuum + wireReadyOpen,
			[]string{"error 08007", "ready I"}},
	} {
		t.Run(name, func(t *testing.T) {
			h, targets := newFakeHarness(t, 1)
			client := h.connectRaw(testKey, "")
			for _, query := range c.before {
				client.query(query)
			}
			targets.addScript(c.query, script{response: c.response})
			client.send(queryMessage(c.query))
			client.expect(c.want...)
		})
	}
}
