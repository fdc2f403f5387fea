package program

import (
	"encoding/json"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"samphirehitch.example/samphirehitch/load"
	"samphirehitch.example/samphirehitch/standin/admin"
	"samphirehitch.example/samphirehitch/standin/group"
	"samphirehitch.example/samphirehitch/standin/kv"
)

func writeJSON(t *testing.T, directory, name string, value any) string {
	t.Helper()
	data, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(directory, name)
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestRunInjectsFaultsAndWritesReports(t *testing.T) {
	g, err := group.Start(group.Config{Members: group.NewTargets("db", 3), FirstPrimary: "db-1"})
	if err != nil {
		t.Fatal(err)
	}
	defer g.Close()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: admin.GroupHandler(g)}
	defer server.Close()
	go func() { _ = server.Serve(listener) }()
	store, err := kv.Start(kv.Config{})
	if err != nil {
		t.Fatal(err)
	}
	defer store.Close()
	service := load.Service{Database: "ledger", Targets: g.Targets(), TargetDatabase: "ledger", TargetLogin: load.Login{User: "app"}}
	directory := t.TempDir()
	deployment := Deployment{
		Env: load.Env{
			DaemonAddresses: []string{g.Member("db-1").Target().Address},
			Logins:          []load.Login{{User: "key-1"}},
			Services:        []load.Service{service},
		},
		StoreAdmin:  store.Address(),
		GroupAdmins: []string{listener.Addr().String()},
	}
	script := `{"steps": [{"at_millis": 50, "action": "member_faults", "target": "db-2", "faults": {"replay_lag_millis": 5}}]}`
	scriptFile := filepath.Join(directory, "script.json")
	if err := os.WriteFile(scriptFile, []byte(script), 0o600); err != nil {
		t.Fatal(err)
	}
	var text strings.Builder
	// The only customer is the one that exceeds its rate, and no daemon limits it, so
	// that violations of the rate are expected.
	err = Run(t.Context(), []string{
		"--deployment", writeJSON(t, directory, "deployment.json", deployment),
		"--script", scriptFile, "--duration", "200ms", "--rate", "100", "--out", filepath.Join(directory, "out"),
	}, &text)
	if err != nil && err != ErrViolations {
		t.Fatal(err)
	}
	if !strings.Contains(text.String(), "replay_lag_millis") && !strings.Contains(text.String(), "ReplayLagMillis:5") {
		t.Errorf("report:\n%s", text.String())
	}
	if !strings.Contains(text.String(), "store: 0.0 reads and 0.0 writes a second") {
		t.Errorf("report:\n%s", text.String())
	}
	if got := g.Member("db-2").Faults().ReplayLagMillis; got != 5 {
		t.Errorf("replay lag of %d ms, want 5", got)
	}
	for _, name := range []string{"report.json", "report.txt", "replica-reads.svg"} {
		if _, err := os.Stat(filepath.Join(directory, "out", name)); err != nil {
			t.Error(err)
		}
	}
}
