package inject

import (
	"context"
	"reflect"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"samphirehitch.example/samphirehitch/process/store/memstore"
	"samphirehitch.example/samphirehitch/process/topology"
	"samphirehitch.example/samphirehitch/standin/group"
)

func randomConfig(seed uint64) RandomConfig {
	return RandomConfig{
		Seed: seed, Duration: 10 * time.Second, Customers: 2, MaxDaemonStops: 2, FaultCount: 12,
		Targets: [][]topology.TargetID{{"a-1", "a-2", "a-3"}, {"b-1", "b-2", "b-3"}},
	}
}

func TestRandomScriptRepairsEveryFault(t *testing.T) {
	for seed := range uint64(50) {
		script := RandomScript(randomConfig(seed))
		if !reflect.DeepEqual(script, RandomScript(randomConfig(seed))) {
			t.Fatalf("seed %d gives two different scripts", seed)
		}
		unrepaired := make(map[string]int)
		for _, step := range script.Steps {
			if step.AtMillis > 8500 {
				t.Fatalf("seed %d: step after the latest repair: %+v", seed, step)
			}
			switch step.Action {
			case MemberKill, KeyWithdraw:
				unrepaired[string(step.Action)]++
			case MemberRestart:
				unrepaired[string(MemberKill)]--
			case KeyRestore:
				unrepaired[string(KeyWithdraw)]--
			}
		}
		if unrepaired[string(MemberKill)] != 0 || unrepaired[string(KeyWithdraw)] != 0 {
			t.Fatalf("seed %d: number of faults without a repair: %v", seed, unrepaired)
		}
	}
}

// recordingInjector records the calls of a script runner. StopDaemon blocks until a
// target has been restarted, as a drain that waits for a repair does.
type recordingInjector struct {
	NoOperator
	calls     []string
	restarted chan struct{}
}

func (r *recordingInjector) StopDaemon(context.Context, int, bool) error {
	<-r.restarted
	return nil
}

func (r *recordingInjector) Primary(context.Context, int) (topology.TargetID, error) {
	return "a-1", nil
}

func (r *recordingInjector) SetMemberFaults(_ context.Context, _ int, target topology.TargetID, _ group.Faults) error {
	r.calls = append(r.calls, "faults "+string(target))
	return nil
}

func (r *recordingInjector) KillMember(_ context.Context, _ int, target topology.TargetID) error {
	r.calls = append(r.calls, "kill "+string(target))
	return nil
}

func (r *recordingInjector) RestartMember(_ context.Context, _ int, target topology.TargetID) error {
	r.calls = append(r.calls, "restart "+string(target))
	close(r.restarted)
	return nil
}

func (r *recordingInjector) SetStoreFaults(context.Context, memstore.Faults) error { return nil }

func TestScriptRunnerAppliesStepsInOrder(t *testing.T) {
	script, err := ReadScript(strings.NewReader(`{"steps": [
		{"at_millis": 20, "action": "member_restart", "target": "same"},
		{"at_millis": 10, "action": "member_kill", "target": "primary"},
		{"at_millis": 15, "action": "daemon_drain", "daemon": 1},
		{"at_millis": 40, "action": "nonsense"}]}`))
	if err != nil {
		t.Fatal(err)
	}
	injector := &recordingInjector{restarted: make(chan struct{})}
	var mu sync.Mutex
	var failed []Action
	NewScriptRunner(script, injector).Run(t.Context(), func(time.Duration) error { return nil }, func(step Step, err error) {
		mu.Lock()
		defer mu.Unlock()
		if err != nil {
			failed = append(failed, step.Action)
		}
	})
	if want := []string{"kill a-1", "restart a-1"}; !slices.Equal(injector.calls, want) {
		t.Errorf("calls %q", injector.calls)
	}
	if want := []Action{"nonsense"}; !slices.Equal(failed, want) {
		t.Errorf("failed actions %q", failed)
	}
	if _, err := ReadScript(strings.NewReader(`{"stages": []}`)); err == nil {
		t.Error("accepted a script with an unknown field")
	}
}
