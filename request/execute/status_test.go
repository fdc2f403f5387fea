package execute

import "testing"

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
