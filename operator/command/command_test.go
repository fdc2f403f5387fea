package command

import (
	"bytes"
	"encoding/json"
	"fmt"
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

// moment matches the times and addresses that differ between runs.
var moment = regexp.MustCompile(`\d{4}-\d\d-\d\dT[0-9:.]+Z|127\.0\.0\.1:\d+`)

// TestCommands runs testdata/commands: "run" takes arguments and the standard
// input, "store" sets the store's faults, and "daemon" what an admin address
// answers; ADMIN in arguments stands for it.
func TestCommands(t *testing.T) {
	t.Setenv("USER", "")
	kv := memstore.New(memstore.Config{})
	kv.PutInstance(platform.Instance{ID: "i1", FailureDomain: "kollam", State: platform.InstanceLive, Peer: "10.0.0.9:7000"})
	changes := 0
	var told status.Daemon
	admin := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(told)
	}))
	defer admin.Close()
	datadriven.RunTest(t, "testdata/commands", func(t *testing.T, d *datadriven.TestData) string {
		switch d.Cmd {
		case "store":
			kv.SetFaults(memstore.Faults{Down: d.HasArg("down")})
			return ""
		case "daemon":
			told = status.Daemon{}
			if err := json.Unmarshal([]byte(d.Input), &told); err != nil {
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
			NewID: func() record.ChangeID {
				changes++
				return record.ChangeID(fmt.Sprintf("c%d", changes))
			},
		}
		code := Run(t.Context(), env, append([]string{"--store", "s:1", "--timeout", "2s"}, arguments(line)...))
		out := stdout.String()
		if stderr.Len() > 0 {
			out += "stderr:\n" + stderr.String()
		}
		return moment.ReplaceAllString(out, "VARIES") + fmt.Sprintf("exit %d\n", code)
	})
}

// arguments splits a line at blanks; quotes keep blanks together.
func arguments(line string) []string {
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
