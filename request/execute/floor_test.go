package execute

import (
	"testing"

	"github.com/jackc/pgx/v5"

	standin "samphirehitch.example/samphirehitch/standin/group"
)

// lag makes the replicas replay late, once they have what is there.
func (r *rig) lag(millis int) {
	r.catchUp()
	for _, member := range r.group.Members() {
		member.SetFaults(standin.Faults{ReplayLagMillis: millis})
	}
}

// keepUp ends the lag.
func (r *rig) keepUp() {
	for _, member := range r.group.Members() {
		member.SetFaults(standin.Faults{})
	}
}

const longLagMillis = 3_600_000

// TestReadYourWritesOnOpenConnections writes on one connection and reads on
// others that were open before, while no replica replays.
func TestReadYourWritesOnOpenConnections(t *testing.T) {
	r := newRig(t)
	writer := r.connect(testKey, "")
	r.exec(writer, "INSERT INTO kv VALUES ('n', '0')")
	for name, reader := range map[string]*pgx.Conn{
		"plain": r.connect(testKey, ""),
		"named": r.connect(testKey, "samphirehitch.session=desk"),
	} {
		t.Run(name, func(t *testing.T) {
			r.text(reader, "SELECT value FROM kv WHERE key = 'n'")
			r.lag(longLagMillis)
			r.exec(writer, "UPDATE kv SET value = value + 1 WHERE key = 'n'")
			want := r.text(writer, "SELECT value FROM kv WHERE key = 'n'")
			if got := r.text(reader, "SELECT value FROM kv WHERE key = 'n'"); got != want {
				t.Errorf("read %s after a write of %s elsewhere", got, want)
			}
			r.keepUp()
		})
	}
}

// TestStatedAge reads old data from a replica, but never older than the
// session's own write.
func TestStatedAge(t *testing.T) {
	r := newRig(t)
	writer := r.connect(testKey, "")
	reader := r.connect(testKey, "")
	r.exec(writer, "INSERT INTO kv VALUES ('n', '0')")
	r.text(reader, "SELECT value FROM kv WHERE key = 'n'")
	r.exec(reader, "SET samphirehitch.max_age = '1h'")
	r.lag(longLagMillis)
	r.exec(writer, "UPDATE kv SET value = '1' WHERE key = 'n'")
	if got := r.text(reader, "SELECT value FROM kv WHERE key = 'n'"); got != "0" {
		t.Errorf("read %s within the stated age, want the old 0", got)
	}
	r.exec(reader, "UPDATE kv SET value = '2' WHERE key = 'n'")
	if got := r.text(reader, "SELECT value FROM kv WHERE key = 'n'"); got != "2" {
		t.Errorf("read %s after an own write of 2", got)
	}
	r.exec(reader, "SET samphirehitch.max_age = '0'")
	r.exec(writer, "UPDATE kv SET value = '3' WHERE key = 'n'")
	if got := r.text(reader, "SELECT value FROM kv WHERE key = 'n'"); got != "3" {
		t.Errorf("read %s after the age was withdrawn, want 3", got)
	}
}

// TestToken carries a floor to another session. A session that presents a token
// takes no arrival floors, so it reads what the token covers and may read older
// than what it was not told of.
func TestToken(t *testing.T) {
	r := newRig(t)
	writer := r.script(testKey, "")
	writer.ask("INSERT INTO kv VALUES ('n', '0')")
	early := r.script(testKey, "samphirehitch.token="+writer.token)
	wantValue := func(s *script, want string) {
		t.Helper()
		s.send(queryMessage("SELECT value FROM kv WHERE key = 'n'"))
		s.want("RowDescription", "row "+want, "done SELECT 1", "ready I")
	}
	wantValue(early, "0")
	r.lag(longLagMillis)
	writer.ask("UPDATE kv SET value = '1' WHERE key = 'n'")
	wantValue(early, "0")
	early.ask("SET samphirehitch.token = '" + writer.token + "'")
	wantValue(early, "1")
	wantValue(r.script(testKey, "options='-c samphirehitch.token="+writer.token+"'"), "1")
	writer.send(queryMessage("SHOW samphirehitch.token"))
	writer.want("RowDescription", "row "+writer.token, "done SHOW", "ready I")
	if got := writer.ask("SET samphirehitch.token = 'x'"); got[0] != "error 22023" {
		t.Errorf("got %v for a broken token", got)
	}
}
