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

// TestRounds runs the files in testdata/rounds. Each command has the time in milliseconds
// as "at". The commands response and fail complete the member's latest request, unless
// they name a sequence as "seq".
func TestRounds(t *testing.T) {
	datadriven.Walk(t, "testdata/rounds", func(t *testing.T, path string) {
		var rounds *Rounds
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd == "targets" {
				config := DefaultRoundsConfig()
				rounds = NewRounds("ledger", config)
			}
			return runCommand(t, rounds, d)
		})
	})
}

// runCommand runs one command and returns the output of the rounds.
func runCommand(t *testing.T, rounds *Rounds, d *datadriven.TestData) string {
	var out Output
	var at, sequence, waiter, transaction int
	d.ScanArgs(t, "at", &at)
	d.MaybeScanArgs(t, "seq", &sequence)
	d.MaybeScanArgs(t, "waiter", &waiter)
	d.MaybeScanArgs(t, "transaction", &transaction)
	if m := rounds.member(topology.TargetID(optionalArgument(t, d, "from"))); m != nil && sequence == 0 {
		sequence = int(m.requestSequence)
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
		rounds.AddWaiter(now, WaiterID(waiter), Condition{Kind: ConditionView}, &out)
	case "floor":
		rounds.AddWaiter(now, WaiterID(waiter), Condition{Kind: ConditionFloor}, &out)
	case "commit":
		rounds.AddWaiter(now, WaiterID(waiter), Condition{Kind: ConditionCommit, Commit: commit}, &out)
	case "outcome":
		rounds.AddWaiter(now, WaiterID(waiter), Condition{Kind: ConditionOutcome, Commit: commit, Transaction: uint64(transaction)}, &out)
	case "response":
		rounds.HandleStatus(now, uint64(sequence), scanStatus(t, d), &out)
	case "report":
		var outcome, recorded int
		d.ScanArgs(t, "outcome", &outcome)
		d.MaybeScanArgs(t, "recorded", &recorded)
		rounds.HandleReport(now, WaiterID(waiter), platform.TransactionReport{
			Outcome:     platform.TransactionOutcome(outcome),
			CommitPoint: topology.Point{Term: topology.Term(recorded)},
			Status:      scanStatus(t, d),
		}, &out)
	case "fail":
		rounds.HandleStatusFailure(now, uint64(sequence), &out)
	case "tick":
		rounds.Tick(now, &out)
	case "remove":
		rounds.RemoveWaiter(WaiterID(waiter))
	default:
		t.Fatalf("unknown command %s", d.Cmd)
	}
	return formatOutput(rounds, now, &out)
}

// optionalArgument returns an argument of a command, or "".
func optionalArgument(t *testing.T, d *datadriven.TestData, key string) string {
	var value string
	d.MaybeScanArgs(t, key, &value)
	return value
}

// scanStatus returns the status that a command's arguments describe.
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

// formatOutput formats an output and the time of the next tick.
func formatOutput(rounds *Rounds, now time.Duration, out *Output) string {
	var text strings.Builder
	for _, request := range out.StatusRequests {
		fmt.Fprintf(&text, "request %s seq=%d\n", request.Target.ID, request.Sequence)
	}
	for _, query := range out.TransactionQueries {
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

// After a suspension of the process the request that was in flight failed, and a member that was well
// counted as silent for all of the suspension.
func TestSuspensionOfTheProcessIsNoSilenceOfAMember(t *testing.T) {
	config := DefaultRoundsConfig()
	for name, test := range map[string]struct{ failedAt, want time.Duration }{
		"without":   {2*config.HeartbeatInterval + 50*time.Millisecond, config.HeartbeatInterval},
		"suspended": {time.Minute, time.Minute - config.MaxFirstSilence},
	} {
		t.Run(name, func(t *testing.T) {
			rounds := NewRounds("s", config)
			var out Output
			rounds.SetWatching(0, true, &out)
			rounds.SetTargets(0, []TargetConfig{{Target: platform.Target{ID: "a"}}}, &out)
			rounds.HandleStatus(time.Millisecond, out.StatusRequests[0].Sequence, topology.Status{Target: "a"}, &out)
			rounds.Tick(config.HeartbeatInterval, &out)
			rounds.HandleStatus(config.HeartbeatInterval+time.Millisecond, out.StatusRequests[1].Sequence, topology.Status{Target: "a"}, &out)
			rounds.Tick(2*config.HeartbeatInterval, &out)
			rounds.HandleStatusFailure(test.failedAt, out.StatusRequests[2].Sequence, &out)
			rounds.Tick(test.failedAt+config.RetryInterval, &out)
			rounds.HandleStatusFailure(test.failedAt+config.HeartbeatInterval, out.StatusRequests[3].Sequence, &out)
			if got := rounds.View().Targets[0]; got.Reachable || got.SilentSince != test.want {
				t.Errorf("reachable: %v, silent since %v, want %v", got.Reachable, got.SilentSince, test.want)
			}
		})
	}
}
