package execute

import "testing"

// Guards against a statement that runs outside of a transaction with the settings of another
// session, because a setting that was sent ahead of it was refused.
func TestRefusedSettingKeepsAnUnwrappedStatementFromRunning(t *testing.T) {
	h, targets := newFakeHarness(t, 1)
	client := h.connectRaw(testKey, "search_path=depot")
	targets.addScript("SET search_path TO 'depot'", script{skipped: true, response: wireErrorBusy + wireReadyIdle})
	client.send(queryMessage("VACUUM a"))
	client.expect("error 53300", "ready I")
	if targets.hasReceived("VACUUM a") {
		t.Error("the statement was sent")
	}
}

// Guards against a search path given at start-up that reaches targets as the name of one schema.
func TestSearchPathReachesTargetsAsAList(t *testing.T) {
	h, targets := newFakeHarness(t, 1)
	client := h.connectRaw(testKey, "search_path=depot,mill")
	client.query("SELECT 'x'")
	if !targets.hasReceived("SET search_path TO 'depot', 'mill'\x00") {
		t.Error("the target received another search path")
	}
}
