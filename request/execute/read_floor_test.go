package execute

import (
	"testing"

	"github.com/jackc/pgx/v5"

	standin "samphirehitch.example/samphirehitch/standin/group"
)

// delayReplay lets the replicas catch up and then delays their replay.
func (h *harness) delayReplay(delayMillis int) {
	h.awaitReplay()
	for _, member := range h.group.Members() {
		member.SetFaults(standin.Faults{ReplayLagMillis: delayMillis})
	}
}

// endReplayDelay ends the delay of delayReplay.
func (h *harness) endReplayDelay() {
	for _, member := range h.group.Members() {
		member.SetFaults(standin.Faults{})
	}
}

// longReplayDelayMillis outlasts every test.
const longReplayDelayMillis = 3_600_000

// TestReadsSeeWritesOfOtherConnections checks that a read sees a write that was
// acknowledged before on another connection, although no replica has replayed
// it. The reading connections were open before the write.
func TestReadsSeeWritesOfOtherConnections(t *testing.T) {
	h := newHarness(t)
	writer := h.connect(testKey, "")
	h.exec(writer, "INSERT INTO kv VALUES ('n', '0')")
	for name, reader := range map[string]*pgx.Conn{
		"plain": h.connect(testKey, ""),
		"named": h.connect(testKey, "samphirehitch.session=desk"),
	} {
		t.Run(name, func(t *testing.T) {
			h.queryValue(reader, "SELECT value FROM kv WHERE key = 'n'")
			h.delayReplay(longReplayDelayMillis)
			h.exec(writer, "UPDATE kv SET value = value + 1 WHERE key = 'n'")
			want := h.queryValue(writer, "SELECT value FROM kv WHERE key = 'n'")
			if got := h.queryValue(reader, "SELECT value FROM kv WHERE key = 'n'"); got != want {
				t.Errorf("read %s after a write of %s elsewhere", got, want)
			}
			h.endReplayDelay()
		})
	}
}

// TestMaxAgeAllowsOldReads checks that a session with a maximum age may read
// old data from a replica, but never data from before its own write.
func TestMaxAgeAllowsOldReads(t *testing.T) {
	h := newHarness(t)
	writer := h.connect(testKey, "")
	reader := h.connect(testKey, "")
	h.exec(writer, "INSERT INTO kv VALUES ('n', '0')")
	h.queryValue(reader, "SELECT value FROM kv WHERE key = 'n'")
	h.exec(reader, "SET samphirehitch.max_age = '1h'")
	h.delayReplay(longReplayDelayMillis)
	h.exec(writer, "UPDATE kv SET value = '1' WHERE key = 'n'")
	if got := h.queryValue(reader, "SELECT value FROM kv WHERE key = 'n'"); got != "0" {
		t.Errorf("read %s within the maximum age, want the old 0", got)
	}
	h.exec(reader, "UPDATE kv SET value = '2' WHERE key = 'n'")
	if got := h.queryValue(reader, "SELECT value FROM kv WHERE key = 'n'"); got != "2" {
		t.Errorf("read %s after an own write of 2", got)
	}
	h.exec(reader, "SET samphirehitch.max_age = '0'")
	h.exec(writer, "UPDATE kv SET value = '3' WHERE key = 'n'")
	if got := h.queryValue(reader, "SELECT value FROM kv WHERE key = 'n'"); got != "3" {
		t.Errorf("read %s after the maximum age was removed, want 3", got)
	}
}

// TestTokenCarriesFloorToOtherSession checks that a session that presents a
// token reads what the token covers. Its reads have no arrival floor, so they
// may miss later writes of other sessions.
func TestTokenCarriesFloorToOtherSession(t *testing.T) {
	h := newHarness(t)
	writer := h.connectRaw(testKey, "")
	writer.query("INSERT INTO kv VALUES ('n', '0')")
	tokenReader := h.connectRaw(testKey, "samphirehitch.token="+writer.token)
	expectValue := func(client *wireClient, want string) {
		t.Helper()
		client.send(queryMessage("SELECT value FROM kv WHERE key = 'n'"))
		client.expect("RowDescription", "row "+want, "done SELECT 1", "ready I")
	}
	expectValue(tokenReader, "0")
	h.delayReplay(longReplayDelayMillis)
	writer.query("UPDATE kv SET value = '1' WHERE key = 'n'")
	expectValue(tokenReader, "0")
	tokenReader.query("SET samphirehitch.token = '" + writer.token + "'")
	expectValue(tokenReader, "1")
	expectValue(h.connectRaw(testKey, "options='-c samphirehitch.token="+writer.token+"'"), "1")
	writer.send(queryMessage("SHOW samphirehitch.token"))
	writer.expect("RowDescription", "row "+writer.token, "done SHOW", "ready I")
	if got := writer.query("SET samphirehitch.token = 'x'"); got[0] != "error 22023" {
		t.Errorf("got %v for an invalid token", got)
	}
}
