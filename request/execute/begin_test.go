package execute

import "testing"

// Guards against a promise that a write did not run, when the target has refused the BEGIN
// that was sent ahead of it: the write then has run and committed on its own.
func TestWriteBehindARefusedBeginIsInDoubt(t *testing.T) {
	refused := script{skipped: true, response: wireErrorBusy + wireReadyIdle}
	for name, response := range map[string]script{
		"refused":                          refused,
		"done without an open transaction": {skipped: true, response: wireBegin + wireReadyIdle},
		"done twice":                       {skipped: true, response: wireBegin + wireBegin + wireReadyOpen},
	} {
		for kind, status := range map[string]string{"write": "I", "transaction": "E"} {
			t.Run(kind+", "+name, func(t *testing.T) {
				h, targets := newFakeHarness(t, 1)
				client := h.connectRaw(testKey, "")
				if kind == "transaction" {
					client.query("BEGIN")
				}
				targets.addScript(queryBegin, response)
				client.send(queryMessage("INSERT a"))
				client.expect("error 08007", "ready "+status)
				// The target may find the connection closed before it runs the write.
				if got := targets.insertCount("a"); got > 1 {
					t.Errorf("took effect %d times", got)
				}
			})
		}
		t.Run("read, "+name, func(t *testing.T) {
			h, targets := newFakeHarness(t, 1)
			client := h.connectRaw(testKey, "")
			targets.stall("f-2", "f-3")
			targets.addScript(queryBeginReadOnly, response)
			client.send(queryMessage("SELECT f()"))
			client.expect("error 08007", "ready I")
		})
	}
}

// Guards against a cancel request that hits the BEGIN of a write instead of the write, which
// would then run on its own.
func TestCancelRequestDoesNotReachABegin(t *testing.T) {
	h, targets := newFakeHarness(t, 1)
	client := h.connectRaw(testKey, "")
	targets.scheduleFaults(responseFault{truncateAt: -1, silent: true})
	client.send(queryMessage("INSERT a"))
	targets.awaitReceived("INSERT a")
	h.sendCancelRequest(client.processID, client.secretKey)
	client.expect("error 57014", "ready I")
	if targets.hasReceived("\x00\x00\x00\x10\x04\xd2\x16\x2e") {
		t.Error("the target received a cancel request")
	}
	if got := targets.insertCount("a"); got != 0 {
		t.Errorf("took effect %d times", got)
	}
}

// Guards against a BEGIN that is refused only with the statement that follows it, which
// would then run on its own.
func TestInvalidBeginIsRefusedAtOnce(t *testing.T) {
	h, targets := newFakeHarness(t, 1)
	client := h.connectRaw(testKey, "")
	targets.addScript("BEGIN READ COMMITTED", script{skipped: true, response: wireErrorBusy + wireReadyIdle})
	if got := client.query("BEGIN READ COMMITTED"); len(got) != 2 || got[0] != "error 53300" || got[1] != "ready I" {
		t.Errorf("response %v", got)
	}
}
