package execute

import (
	"testing"

	"github.com/jackc/pgx/v5"

	standin "samphirehitch.example/samphirehitch/standin/group"
)

// lag makes the replicas replay late.
func (r *rig) lag(millis int) {
	for _, member := range r.group.Members() {
		member.SetFaults(standin.Faults{ReplayLagMillis: millis})
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
			r.lag(0)
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
