package load

import (
	"slices"
	"testing"

	"samphirehitch.example/samphirehitch/load/inject"
	"samphirehitch.example/samphirehitch/load/measure"
	"samphirehitch.example/samphirehitch/load/oracle"
	"samphirehitch.example/samphirehitch/load/workload"
	"samphirehitch.example/samphirehitch/process/platform/httpgroup"
	"samphirehitch.example/samphirehitch/standin/group"
)

const database = "ledger"

func startGroup(t *testing.T) *group.Group {
	t.Helper()
	g, err := group.Start(group.Config{Members: group.NewTargets("db", 3), FirstPrimary: "db-1"})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(g.Close)
	return g
}

func serviceOf(g *group.Group) Service {
	return Service{Database: database, Targets: g.Targets(), TargetDatabase: database, TargetLogin: Login{User: "app"}}
}

// env lets callers reach members of a group as if they were daemons.
func env(t *testing.T, g *group.Group, entries ...string) Env {
	t.Helper()
	groups := httpgroup.New()
	t.Cleanup(groups.Close)
	return Env{
		Entries:  entries,
		Logins:   []Login{{User: "key-1"}, {User: "key-2"}},
		Services: []Service{serviceOf(g)},
		Groups:   groups,
	}
}

func shortLoad() Config {
	cfg := workload.Default(2, 150)
	cfg.DurationMillis = 400
	cfg.RoamShare = 0.1
	cfg.PreparedShare = 0.25
	return Config{Load: cfg}
}

func run(t *testing.T, cfg Config, env Env) *Report {
	t.Helper()
	report, err := Run(t.Context(), cfg, env)
	if err != nil {
		t.Fatal(err)
	}
	return report
}

func hasRule(phase measure.Phase, rule oracle.Rule) bool {
	return slices.ContainsFunc(phase.Violations, func(v oracle.Violation) bool { return v.Rule == rule })
}

func TestAPrimaryAloneBreaksOnlyTheRate(t *testing.T) {
	g := startGroup(t)
	cfg := shortLoad()
	cfg.Load.Customers[1].LimitRate = 1
	cfg.Load.Customers[1].LimitBurst = 1
	got := run(t, cfg, env(t, g, g.Member("db-1").Target().Address)).Proxied
	for _, v := range got.Violations {
		if v.Rule != oracle.RuleRate {
			t.Errorf("violation %+v", v)
		}
	}
	if !hasRule(got, oracle.RuleRate) {
		t.Error("nothing limits the second customer, and the oracle says nothing")
	}
	local := inject.Local{Groups: []*group.Group{g}}
	if len(local.KeysSeen([]string{"key-1"})) == 0 || len(local.KeysSeen([]string{"key-9"})) != 0 {
		t.Error("the caller's key at the target went unseen")
	}
	if got.Sums.Requests == 0 || got.Sums.Confirmed != got.Sums.Requests || got.Sums.ReplicaReads != 0 {
		t.Errorf("sums %+v, refusals %+v", got.Sums, got.Refusals)
	}
}

func TestLaggingReplicasBreakReadYourWrites(t *testing.T) {
	g := startGroup(t)
	cfg := shortLoad()
	cfg.Script.Steps = []inject.Step{{Action: inject.MemberFaults, Target: "db-2", Faults: group.Faults{ReceiveLagMillis: 60_000}}}
	e := env(t, g, g.Member("db-1").Target().Address, g.Member("db-2").Target().Address)
	e.Injector = inject.Local{Operator: inject.NoOperator{}, Groups: []*group.Group{g}}
	got := run(t, cfg, e).Proxied
	if !hasRule(got, oracle.RuleReadYourWrites) {
		t.Errorf("violations %v", got.Violations)
	}
	if got.Sums.ReplicaReads == 0 || got.Sums.NotRun == 0 {
		t.Errorf("sums %+v", got.Sums)
	}
	if hasRule(got, oracle.RuleNotRun) || hasRule(got, oracle.RuleLostWrite) {
		t.Errorf("violations %v", got.Violations)
	}
}

func TestBaselineKeepsTheRate(t *testing.T) {
	g, base := startGroup(t), startGroup(t)
	e := env(t, g, g.Member("db-1").Target().Address)
	e.Baseline = []Service{serviceOf(base)}
	e.BaselineInjector = inject.Local{Operator: inject.NoOperator{}, Groups: []*group.Group{base}}
	cfg := shortLoad()
	cfg.Script.Steps = []inject.Step{
		{AtMillis: 100, Action: inject.MemberKill, Target: inject.Primary},
		{AtMillis: 200, Action: inject.MemberRestart, Target: inject.Same},
		{AtMillis: 201, Action: inject.KeyWithdraw},
	}
	got := run(t, cfg, e).Baseline
	if len(got.Violations) != 0 {
		t.Errorf("violations %v", got.Violations)
	}
	if got.Sums.Confirmed == 0 || got.Sums.ReplicaReads != 0 {
		t.Errorf("sums %+v", got.Sums)
	}
	if len(got.Faults) != 3 || got.Faults[0].Error != "" || got.Faults[1].Error != "" || got.Faults[2].Error == "" {
		t.Errorf("faults %+v", got.Faults)
	}
}

func TestRunChecksTheLoad(t *testing.T) {
	cfg := shortLoad()
	cfg.Load.Customers[0].Rate = 0
	if _, err := Run(t.Context(), cfg, Env{}); err == nil {
		t.Error("ran a load without arrivals")
	}
}
