package execute

import "testing"

// Guards against a transaction ID that is read from a response to another statement. "No ID" means
// that the transaction has written nothing: a write whose COMMIT is then lost would run
// again.
func TestMalformedTransactionIDDoesNotRepeatAWrite(t *testing.T) {
	for name, response := range map[string]string{
		"no row":       wireColumn + wireSelectNone + wireReadyOpen,
		"two rows":     wireColumn + wireNull + wireNull + wireSelectTwo + wireReadyOpen,
		"empty":        wireColumn + wireEmpty + wireSelectOne + wireReadyOpen,
		"no result":    wireSelectOne + wireReadyOpen,
		"two results":  wireColumn + wireNull + wireSelectOne + wireColumn + wireNull + wireSelectOne + wireReadyOpen,
		"wrong status": wireColumn + wireNull + wireSelectOne + wireReadyIdle,
	} {
		t.Run(name, func(t *testing.T) {
			h, targets := newFakeHarness(t, 1)
			client := h.connectRaw(testKey, "")
			targets.addScript(queryTransactionID, script{response: response})
			targets.scheduleFaults(noFault, noFault, noFault, responseFault{truncateAt: 0})
			got := client.query("INSERT a")
			if targets.insertCount("a") != 1 || got[0] != "done INSERT 0 1" {
				t.Errorf("response %v, took effect %d times", got, targets.insertCount("a"))
			}
		})
	}
}

// Guards against the result of another statement that is taken for the one of a statement that
// the instance added.
func TestOwnStatementNeedsItsExactResult(t *testing.T) {
	for name, c := range map[string]struct{ query, response, want string }{
		"begin, prefix of the tag":      {queryBegin, "C\x00\x00\x00\x0bBEGINS\x00" + wireReadyOpen, "error 08007"},
		"begin with rows":               {queryBegin, wireColumn + wireOne + wireBegin + wireReadyOpen, "error 08007"},
		"begin twice":                   {queryBegin, wireBegin + wireBegin + wireReadyOpen, "error 08007"},
		"commit leaves the transaction": {queryCommit, wireCommit + wireReadyOpen, "done INSERT 0 1"},
	} {
		t.Run(name, func(t *testing.T) {
			h, targets := newFakeHarness(t, 1)
			client := h.connectRaw(testKey, "")
			targets.addScript(c.query, script{response: c.response})
			got := client.query("INSERT a")
			if acknowledged := got[0] == "done INSERT 0 1"; got[0] != c.want || acknowledged != (targets.insertCount("a") == 1) {
				t.Errorf("response %v, took effect %d times", got, targets.insertCount("a"))
			}
			if !h.hasLogged("violated the protocol") && !h.hasLogged("in-doubt commit") {
				t.Error("the result was accepted")
			}
		})
	}
}

// Guards against the late copy of a whole response: it holds the ID of a transaction that was
// committed before, by which a lost COMMIT would be resolved as done.
func TestTransactionIDOfAnEarlierWriteIsRefused(t *testing.T) {
	h, targets := newFakeHarness(t, 1)
	client := h.connectRaw(testKey, "")
	client.query("INSERT a")
	targets.addScript(queryTransactionID, script{response: wireColumn + wireOne + wireSelectOne + wireReadyOpen})
	targets.addScript(queryCommit, script{skipped: true, response: wireReadyIdle})
	got := client.query("INSERT b")
	if acknowledged := got[0] == "done INSERT 0 1"; acknowledged != (targets.insertCount("b") == 1) {
		t.Errorf("response %v, took effect %d times", got, targets.insertCount("b"))
	}
}

// Guards against an error that came twice: the copy is taken for the response to COMMIT, and
// a write that has committed runs again on its word.
func TestErrorAheadOfTheResponseToCommitIsNoPromise(t *testing.T) {
	for name, c := range map[string]struct {
		begin   bool
		refusal string
	}{
		"write, read-only":       {false, wireReadOnly},
		"transaction, read-only": {true, wireReadOnly},
		"write, busy":            {false, wireErrorBusy},
		"transaction, busy":      {true, wireErrorBusy},
	} {
		t.Run(name, func(t *testing.T) {
			h, targets := newFakeHarness(t, 1)
			client := h.connectRaw(testKey, "")
			want := "done INSERT 0 1"
			if c.begin {
				client.query("BEGIN")
			}
			targets.addScript(queryCommit, script{response: c.refusal + wireReadyIdle + wireCommit + wireReadyIdle})
			got := client.query("INSERT a")
			if c.begin {
				got, want = client.query("COMMIT"), "done COMMIT"
			}
			if got[0] != want || targets.insertCount("a") != 1 {
				t.Errorf("response %v, took effect %d times", got, targets.insertCount("a"))
			}
		})
	}
}

// Guards against a COMMIT that is sent on a connection with more responses than statements.
func TestCommitNeedsAQuietConnection(t *testing.T) {
	h, targets := newFakeHarness(t, 1)
	client := h.connectRaw(testKey, "")
	targets.addScript(queryTransactionID, script{response: wireColumn + wireOne + wireSelectOne + wireReadyOpen + wireCommit + wireReadyIdle})
	targets.addScript(queryCommit, script{skipped: true, response: wireReadyIdle})
	got := client.query("INSERT a")
	if acknowledged := got[0] == "done INSERT 0 1"; acknowledged != (targets.insertCount("a") == 1) {
		t.Errorf("response %v, took effect %d times", got, targets.insertCount("a"))
	}
}

// Guards against a promise for rows that the transaction ID does not cover, such as those of a
// foreign table: a write without an ID has changed nothing only if its tag counts no rows.
func TestWriteWithoutAnIDIsInDoubtIfItChangedRows(t *testing.T) {
	noID := script{response: wireColumn + wireNull + wireSelectOne + wireReadyOpen}
	for name, c := range map[string]struct {
		begin bool
		tag   string
		want  string
	}{
		"write":                  {false, wireInsert, "error 08007"},
		"transaction":            {true, wireInsert, "error 08007"},
		"write of no rows":       {false, "C\x00\x00\x00\x0fINSERT 0 0\x00", "done INSERT 0 1"},
		"transaction of no rows": {true, "C\x00\x00\x00\x0fINSERT 0 0\x00", "error 40001"},
	} {
		t.Run(name, func(t *testing.T) {
			h, targets := newFakeHarness(t, 1)
			client := h.connectRaw(testKey, "")
			if c.begin {
				client.query("BEGIN")
			}
			targets.addScript("INSERT a", script{response: c.tag + wireReadyOpen})
			targets.addScript(queryTransactionID, noID)
			targets.addScript(queryTransactionID, noID)
			targets.addScript(queryCommit, script{response: wireReadyIdle})
			got := client.query("INSERT a")
			if c.begin {
				got = client.query("COMMIT")
			}
			if got[0] != c.want {
				t.Errorf("response %v, took effect %d times; want %s", got, targets.insertCount("a"), c.want)
			}
		})
	}
}
