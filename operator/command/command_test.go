package command

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"samphirehitch.example/samphirehitch/process/platform"
	"samphirehitch.example/samphirehitch/process/status"
	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/process/store/memstore"
	"samphirehitch.example/samphirehitch/version/record"
)

// variableText matches times and addresses, which differ between runs.
var variableText = regexp.MustCompile(`\d{4}-\d\d-\d\dT[0-9:.]+Z|127\.0\.0\.1:\d+`)

// TestCommands runs testdata/commands. "run" runs a command with the arguments in the
// first line and the remaining lines as standard input. "store" injects a fault into the
// store. "daemon" sets the status that a daemon returns; ADMIN in the arguments stands
// for the admin address of that daemon.
func TestCommands(t *testing.T) {
	t.Setenv("USER", "")
	kv := memstore.New(memstore.Config{})
	kv.PutInstance(platform.Instance{ID: "i1", FailureDomain: "kollam", State: platform.InstanceLive, Peer: "10.0.0.9:7000"})
	changeCount := 0
	var daemonStatus status.Daemon
	admin := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(daemonStatus)
	}))
	defer admin.Close()
	datadriven.RunTest(t, "testdata/commands", func(t *testing.T, d *datadriven.TestData) string {
		switch d.Cmd {
		case "store":
			kv.SetFaults(memstore.Faults{Down: d.HasArg("down")})
			return ""
		case "daemon":
			daemonStatus = status.Daemon{}
			if err := json.Unmarshal([]byte(d.Input), &daemonStatus); err != nil {
				t.Fatal(err)
			}
			return ""
		}
		line, stdin, _ := strings.Cut(d.Input, "\n")
		line = strings.ReplaceAll(line, "ADMIN", strings.TrimPrefix(admin.URL, "http://"))
		var stdout, stderr bytes.Buffer
		env := &Environment{
			Stdin: strings.NewReader(stdin), Stdout: &stdout, Stderr: &stderr,
			Dial:      func(string) (store.Store, platform.Instances) { return kv, kv },
			NewSecret: func() string { return "open-sesame" },
			NewChangeID: func() record.ChangeID {
				changeCount++
				return record.ChangeID(fmt.Sprintf("c%d", changeCount))
			},
		}
		code := Run(t.Context(), env, append([]string{"--store", "s:1", "--timeout", "2s"}, splitArguments(line)...))
		out := stdout.String()
		if stderr.Len() > 0 {
			out += "stderr:\n" + stderr.String()
		}
		return variableText.ReplaceAllString(out, "VARIES") + fmt.Sprintf("exit %d\n", code)
	})
}

// splitArguments splits a line at spaces outside of double quotes.
func splitArguments(line string) []string {
	var list []string
	for i, part := range strings.Split(line, `"`) {
		if i%2 == 1 {
			list = append(list, part)
			continue
		}
		list = append(list, strings.Fields(part)...)
	}
	return list
}

// A fault of a command must not look like success to a script.
func TestPanicOfACommandIsNotSwallowed(t *testing.T) {
	env := &Environment{Stdin: strings.NewReader(""), Stdout: io.Discard, Stderr: io.Discard,
		Dial: func(string) (store.Store, platform.Instances) { panic("fault of the command") }}
	var code int
	defer func() {
		if p := recover(); p != "fault of the command" {
			t.Fatalf("recovered %v, exit code %d", p, code)
		}
	}()
	code = Run(t.Context(), env, []string{"--store", "store:1", "key", "list", "--customer", "c"})
}
