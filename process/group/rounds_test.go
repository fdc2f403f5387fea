package group

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"samphirehitch.example/samphirehitch/process/platform"
	"samphirehitch.example/samphirehitch/process/topology"
)

// TestRounds runs the specifications in testdata/rounds. Commands take the time
// in milliseconds as "at"; an answer answers the member's request in flight
// unless it names a sequence.
func TestRounds(t *testing.T) {
	datadriven.Walk(t, "testdata/rounds", func(t *testing.T, path string) {
		var rounds *Rounds
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd == "targets" {
				config := DefaultRoundsConfig()
				rounds = NewRounds("ledger", config)
			}
			return runRounds(t, rounds, d)
		})
	})
}

func runRounds(t *testing.T, rounds *Rounds, d *datadriven.TestData) string {
	var out Output
	var at, sequence, waiter, transaction int
	d.ScanArgs(t, "at", &at)
	d.MaybeScanArgs(t, "seq", &sequence)
	d.MaybeScanArgs(t, "waiter", &waiter)
	d.MaybeScanArgs(t, "transaction", &transaction)
	if m := rounds.member(topology.TargetID(optional(t, d, "from"))); m != nil && sequence == 0 {
		sequence = int(m.asked)
	}
	now := time.Duration(at) * time.Millisecond
	commit := Commit{Target: "a", Term: 1}
	switch d.Cmd {
	case "targets":
		var targets []TargetConfig
		for _, id := range strings.Fields(d.Input) {
			targets = append(targets, TargetConfig{Target: platform.Target{ID: topology.TargetID(id)}})
		}
		rounds.SetTargets(now, targets, &out)
	case "view":
		rounds.Join(now, WaiterID(waiter), Need{Kind: NeedView}, &out)
	case "floor":
		rounds.Join(now, WaiterID(waiter), Need{Kind: NeedFloor}, &out)
	case "commit":
		rounds.Join(now, WaiterID(waiter), Need{Kind: NeedCommit, Commit: commit}, &out)
	case "outcome":
		rounds.Join(now, WaiterID(waiter), Need{Kind: NeedOutcome, Commit: commit, Transaction: uint64(transaction)}, &out)
	case "answer":
		rounds.Answered(now, uint64(sequence), scanStatus(t, d), &out)
	case "report":
		var outcome, recorded int
		d.ScanArgs(t, "outcome", &outcome)
		d.MaybeScanArgs(t, "recorded", &recorded)
		rounds.Reported(now, WaiterID(waiter), platform.TransactionReport{
			Outcome: platform.TransactionOutcome(outcome),
			Commit:  topology.Point{Term: topology.Term(recorded)},
			Status:  scanStatus(t, d),
		}, &out)
	case "fail":
		rounds.Failed(now, uint64(sequence), &out)
	case "tick":
		rounds.Tick(now, &out)
	case "leave":
		rounds.Leave(WaiterID(waiter))
	default:
		t.Fatalf("unknown command %s", d.Cmd)
	}
	return printOutput(rounds, now, &out)
}

func optional(t *testing.T, d *datadriven.TestData, key string) string {
	var value string
	d.MaybeScanArgs(t, key, &value)
	return value
}

func scanStatus(t *testing.T, d *datadriven.TestData) topology.Status {
	var target, role string
	var term, receivedTerm, received int
	d.ScanArgs(t, "from", &target)
	d.ScanArgs(t, "role", &role)
	d.ScanArgs(t, "term", &term)
	d.ScanArgs(t, "received", &receivedTerm, &received)
	status := topology.Status{
		Target: topology.TargetID(target), Role: topology.RoleReplica, Term: topology.Term(term),
		Received: topology.Point{Term: topology.Term(receivedTerm), Position: topology.Position(received)},
	}
	if role == "primary" {
		status.Role = topology.RolePrimary
	}
	return status
}

func printOutput(rounds *Rounds, now time.Duration, out *Output) string {
	var text strings.Builder
	for _, ask := range out.Asks {
		fmt.Fprintf(&text, "ask %s seq=%d\n", ask.Target.ID, ask.Sequence)
	}
	for _, query := range out.Queries {
		fmt.Fprintf(&text, "query %s waiter=%d\n", query.Target.ID, query.Waiter)
	}
	for _, r := range out.Results {
		fmt.Fprintf(&text, "result waiter=%d point=%s replaced=%t outcome=%d\n", r.Waiter, r.Point, r.Replaced, r.Outcome)
	}
	if deadline := rounds.Deadline(now); deadline == never {
		text.WriteString("next never\n")
	} else {
		fmt.Fprintf(&text, "next %s\n", deadline)
	}
	return text.String()
}
