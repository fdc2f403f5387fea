package route

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"samphirehitch.example/samphirehitch/process/group"
	"samphirehitch.example/samphirehitch/process/platform"
	"samphirehitch.example/samphirehitch/process/topology"
)

type fakeLoads map[topology.TargetID]int

func (l fakeLoads) InFlight(target topology.TargetID) int { return l[target] }

// TestRoute checks the decisions on the views in testdata. Each input line describes a
// target: name, failure domain, role, replayed point, requests in flight and flags.
func TestRoute(t *testing.T) {
	datadriven.RunTest(t, "testdata/route", func(t *testing.T, d *datadriven.TestData) string {
		view, inFlight := parseView(t, d)
		required := parseRequirements(t, d)
		decision := ChooseReplica(view, required, inFlight)
		if d.Cmd == "primary" {
			decision = ChoosePrimary(view, required)
		}
		if decision.Target == nil {
			return fmt.Sprintf("none: %s\n", decision.Reason)
		}
		return fmt.Sprintf("%s at term %d: %s\n", decision.Target.ID, decision.Term, decision.Reason)
	})
}

func parseView(t *testing.T, d *datadriven.TestData) (*group.View, fakeLoads) {
	view := &group.View{Service: "s"}
	inFlight := make(fakeLoads)
	for _, line := range strings.Split(d.Input, "\n") {
		var name, domain, role string
		target := group.TargetView{Known: true, Reachable: true}
		replayed := &target.Status.Replayed
		var count int
		if _, err := fmt.Sscanf(line, "%s %s %s %d/%d %d", &name, &domain, &role, &replayed.Term, &replayed.Position, &count); err != nil {
			t.Fatalf("%s: %v", line, err)
		}
		target.Target = platform.Target{ID: topology.TargetID(name), FailureDomain: topology.FailureDomain(domain)}
		target.Status.Role = topology.RoleReplica
		if strings.HasPrefix(role, "p") {
			target.Status.Role = topology.RolePrimary
		}
		if role == "primary" {
			view.Primary, view.Term = target.ID, replayed.Term
		}
		target.Leaving = strings.HasSuffix(line, "leaving")
		target.Reachable = !strings.HasSuffix(line, "unreachable")
		target.Known = !strings.HasSuffix(line, "unknown")
		inFlight[target.ID] = count
		view.Targets = append(view.Targets, target)
	}
	view.Frontiers = []group.Frontier{
		{Time: 1 * time.Second, Point: topology.Point{Term: 1, Position: 10}},
		{Time: 2 * time.Second, Point: topology.Point{Term: 1, Position: 20}},
	}
	return view, inFlight
}

func parseRequirements(t *testing.T, d *datadriven.TestData) *Requirements {
	required := &Requirements{OwnDomain: "d1", Now: 3 * time.Second}
	for _, argument := range d.CmdArgs {
		value := argument.Vals[0]
		switch argument.Key {
		case "floor":
			if _, err := fmt.Sscanf(value, "%d/%d", &required.Floor.Term, &required.Floor.Position); err != nil {
				t.Fatal(err)
			}
		case "age":
			required.HasMaxAge = true
			required.MaxAge, _ = time.ParseDuration(value)
		case "excluded":
			required.Excluded = []topology.TargetID{topology.TargetID(value)}
		}
	}
	return required
}

// benchmarkView returns a view of five targets with 256 frontiers.
func benchmarkView() (*group.View, fakeLoads) {
	view := &group.View{Primary: "t0", Term: 3}
	inFlight := make(fakeLoads)
	for i := range 5 {
		id := topology.TargetID(fmt.Sprint("t", i))
		status := topology.Status{Role: topology.RoleReplica, Replayed: topology.Point{Term: 3, Position: 1000}}
		view.Targets = append(view.Targets, group.TargetView{
			Target: platform.Target{ID: id, FailureDomain: topology.FailureDomain(fmt.Sprint("d", i))},
			Status: status, Known: true, Reachable: true,
		})
		inFlight[id] = i
	}
	for i := range 256 {
		view.Frontiers = append(view.Frontiers, group.Frontier{
			Time: time.Duration(i) * time.Millisecond, Point: topology.Point{Term: 3, Position: topology.Position(900 + i)},
		})
	}
	return view, inFlight
}

func BenchmarkReplica(b *testing.B) {
	view, inFlight := benchmarkView()
	required := &Requirements{Floor: topology.Point{Term: 3, Position: 990}, OwnDomain: "d2"}
	b.ReportAllocs()
	for b.Loop() {
		required.Rotation++
		ChooseReplica(view, required, inFlight)
	}
}

func BenchmarkReplicaWithAge(b *testing.B) {
	view, inFlight := benchmarkView()
	required := &Requirements{HasMaxAge: true, MaxAge: time.Second, Now: 256 * time.Millisecond, OwnDomain: "d2"}
	b.ReportAllocs()
	for b.Loop() {
		required.Rotation++
		ChooseReplica(view, required, inFlight)
	}
}

// TestDecisionsDoNotAllocate checks that decisions, which are made for every request,
// allocate no memory.
func TestDecisionsDoNotAllocate(t *testing.T) {
	view, inFlight := benchmarkView()
	required := &Requirements{Floor: topology.Point{Term: 3, Position: 990}, OwnDomain: "d2"}
	allocations := testing.AllocsPerRun(100, func() {
		ChooseReplica(view, required, inFlight)
		ChoosePrimary(view, required)
	})
	if allocations != 0 {
		t.Errorf("%v allocations, want 0", allocations)
	}
}
