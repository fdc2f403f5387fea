package soak

import (
	"bytes"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"samphirehitch.example/samphirehitch/platform/platformtest"
)

// build builds the daemon.
func build(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "samphirehitch-edge")
	if out, err := exec.Command("go", "build", "-o", program, "../cmd/samphirehitch-edge").CombinedOutput(); err != nil {
		t.Fatalf("build the daemon: %v\n%s", err, out)
	}
	return program
}

// cases are a short run and every run that ever failed, with its cause.
var cases = map[string]Options{
	"short": {Seed: 1, Length: 8 * time.Second, Daemons: 4, Callers: 12, Lanes: 2},
	// A primary that had been replaced came back, still called itself primary and was
	// taken for the successor of a later one, at its old term: stale reads.
	"replaced primary came back": {Seed: 122, Length: 20 * time.Second, Daemons: 5, Callers: 24, Lanes: 4, Kinds: 9},
}

func TestSoak(t *testing.T) {
	program := build(t)
	for name, options := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var out bytes.Buffer
			options.Program, options.Directory, options.Out = program, t.TempDir(), &out
			broken, err := Run(options)
			if err != nil {
				t.Fatal(err)
			}
			for _, b := range broken {
				t.Error(b)
			}
			if t.Failed() {
				t.Log(out.String())
			}
		})
	}
}

// The checks find what they are for.
func TestJudgementFindsBrokenPromises(t *testing.T) {
	g, err := platformtest.StartGroup("s", 1, 3, 16, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer g.Close()
	target, answer, err := platformtest.DialCaller(g.Leader().Address(), "s", "miller", answerPatience)
	if err != nil || !answer.OK() {
		t.Fatalf("%v %+v", err, answer)
	}
	defer target.Close()
	for _, data := range []string{"d1", "d1", "d2", "d3"} {
		if _, err := target.Do("id", platformtest.WriteText("a", data), answerPatience); err != nil {
			t.Fatal(err)
		}
	}
	r := newRecord()
	r.sending("id", "miller", platformtest.WriteText("a", "d1"))
	r.wrote(written{data: "d1", acked: true})
	r.wrote(written{data: "d2", promised: true})
	r.wrote(written{data: "d4", acked: true})
	r.read(seen{item: "a", data: "d2", level: strict, before: []written{{data: "d3"}}})
	want := []string{"TWICE: d1", "REFUSED: d2", "LOST: d4", "STALE: primary read of a gave d2", "UNASKED: id was"}
	broken := r.judge([]*platformtest.Group{g})
	for _, begin := range want {
		found := false
		for _, b := range broken {
			found = found || len(b) >= len(begin) && b[:len(begin)] == begin
		}
		if !found {
			t.Errorf("%q is not found in %q", begin, broken)
		}
	}
}
