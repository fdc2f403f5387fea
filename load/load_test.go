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

func groupService(g *group.Group) Service {
	return Service{Database: database, Targets: g.Targets(), TargetDatabase: database, TargetLogin: Login{User: "app"}}
}

// newEnv returns an environment with one service. The addresses, those of group
// members in these tests, take the place of daemons.
func newEnv(t *testing.T, g *group.Group, addresses ...string) Env {
	t.Helper()
	groups := httpgroup.New()
	t.Cleanup(groups.Close)
	return Env{
		DaemonAddresses: addresses,
		Logins:          []Login{{User: "key-1"}, {User: "key-2"}},
		Services:        []Service{groupService(g)},
		Groups:          groups,
	}
}

func shortLoad() Config {
	cfg := workload.Default(2, 150)
	cfg.DurationMillis = 400
	cfg.ReconnectShare = 0.1
	cfg.PreparedShare = 0.25
	return Config{Load: cfg}
}

func mustRun(t *testing.T, cfg Config, env Env) *Report {
	t.Helper()
	report, err := Run(t.Context(), cfg, env)
	if err != nil {
		t.Fatal(err)
	}
	return report
}

func hasViolation(phase measure.Phase, rule oracle.Rule) bool {
	return slices.ContainsFunc(phase.Violations, func(v oracle.Violation) bool { return v.Rule == rule })
}

// TestDirectConnectionViolatesOnlyRateLimit runs the load against a primary in place of
// a daemon. It keeps every guarantee except the rate, so that any other violation is
// an error of the oracle.
func TestDirectConnectionViolatesOnlyRateLimit(t *testing.T) {
	g := startGroup(t)
	cfg := shortLoad()
	cfg.Load.Customers[1].LimitRate = 1
	cfg.Load.Customers[1].LimitBurst = 1
	got := mustRun(t, cfg, newEnv(t, g, g.Member("db-1").Target().Address)).Proxied
	for _, v := range got.Violations {
		if v.Rule != oracle.RuleRate {
			t.Errorf("violation %+v", v)
		}
	}
	if !hasViolation(got, oracle.RuleRate) {
		t.Error("no rate violation for the second customer, which no limiter holds to its rate")
	}
	local := inject.Local{Groups: []*group.Group{g}}
	if len(local.CheckKeyLeaks([]string{"key-1"})) == 0 || len(local.CheckKeyLeaks([]string{"key-9"})) != 0 {
		t.Error("the key that the target received was not reported, or one that it did not receive was")
	}
	if got.Counts.Requests == 0 || got.Counts.Confirmed != got.Counts.Requests || got.Counts.ReplicaReads != 0 {
		t.Errorf("counts %+v, failures %+v", got.Counts, got.Failures)
	}
}

// TestLaggingReplicasViolateReadYourWrites sends the load to a primary and a replica that
// lags by a minute. The oracle must report the stale reads, but no lost writes: writes
// that the replica refuses did not run.
func TestLaggingReplicasViolateReadYourWrites(t *testing.T) {
	g := startGroup(t)
	cfg := shortLoad()
	cfg.Script.Steps = []inject.Step{{Action: inject.MemberFaults, Target: "db-2", MemberFaults: group.Faults{ReceiveLagMillis: 60_000}}}
	env := newEnv(t, g, g.Member("db-1").Target().Address, g.Member("db-2").Target().Address)
	env.Injector = inject.Local{Operator: inject.NoOperator{}, Groups: []*group.Group{g}}
	got := mustRun(t, cfg, env).Proxied
	if !hasViolation(got, oracle.RuleReadYourWrites) {
		t.Errorf("violations %v", got.Violations)
	}
	if got.Counts.ReplicaReads == 0 || got.Counts.NotRun == 0 {
		t.Errorf("counts %+v", got.Counts)
	}
	if hasViolation(got, oracle.RuleNotRun) || hasViolation(got, oracle.RuleLostWrite) {
		t.Errorf("violations %v", got.Violations)
	}
}

// TestBaselineEnforcesRateLimit also checks that the baseline survives a failover and
// reports a step that no operator can apply.
func TestBaselineEnforcesRateLimit(t *testing.T) {
	g, baselineGroup := startGroup(t), startGroup(t)
	env := newEnv(t, g, g.Member("db-1").Target().Address)
	env.Baseline = []Service{groupService(baselineGroup)}
	env.BaselineInjector = inject.Local{Operator: inject.NoOperator{}, Groups: []*group.Group{baselineGroup}}
	cfg := shortLoad()
	cfg.Script.Steps = []inject.Step{
		{AtMillis: 100, Action: inject.MemberKill, Target: inject.CurrentPrimary},
		{AtMillis: 200, Action: inject.MemberRestart, Target: inject.PreviousTarget},
		{AtMillis: 201, Action: inject.KeyWithdraw},
	}
	got := mustRun(t, cfg, env).Baseline
	if len(got.Violations) != 0 {
		t.Errorf("violations %v", got.Violations)
	}
	if got.Counts.Confirmed == 0 || got.Counts.ReplicaReads != 0 {
		t.Errorf("counts %+v", got.Counts)
	}
	if len(got.Faults) != 3 || got.Faults[0].Error != "" || got.Faults[1].Error != "" || got.Faults[2].Error == "" {
		t.Errorf("faults %+v", got.Faults)
	}
}

func TestRunRejectsInvalidLoad(t *testing.T) {
	cfg := shortLoad()
	cfg.Load.Customers[0].Rate = 0
	if _, err := Run(t.Context(), cfg, Env{}); err == nil {
		t.Error("accepted a customer whose rate is 0")
	}
}
