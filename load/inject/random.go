package inject

import (
	"math/rand/v2"
	"slices"
	"time"

	"samphirehitch.example/samphirehitch/process/store/memstore"
	"samphirehitch.example/samphirehitch/process/topology"
	"samphirehitch.example/samphirehitch/standin/group"
)

// RandomConfig sets the limits of a random script.
type RandomConfig struct {
	Seed     uint64
	Duration time.Duration
	// Targets holds the targets of each service.
	Targets [][]topology.TargetID
	// Customers is the number of customers whose key may be withdrawn. 0 leaves all
	// keys valid.
	Customers int
	// MaxDaemonStops is the number of daemons that may be stopped. They are not
	// started again.
	MaxDaemonStops int
	// FaultCount is the number of faults. Each is repaired, except stopped daemons.
	FaultCount int
}

// Times within which faults begin and are repaired, as shares of the duration. The
// last repair leaves the deployment time to recover before the final checks.
const (
	earliestFault = 0.1
	latestFault   = 0.7
	latestRepair  = 0.85
)

// maxLagMillis is the exclusive upper bound of random lags and delays.
const maxLagMillis = 500

// RandomScript returns a script that is determined by the configuration and its seed.
// Faults are drawn independently: they may overlap, even on the same target.
func RandomScript(cfg RandomConfig) Script {
	g := &scriptGenerator{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 0))}
	for range cfg.FaultCount {
		g.addFault()
	}
	slices.SortStableFunc(g.steps, func(a, b Step) int { return int(a.AtMillis - b.AtMillis) })
	return Script{Steps: g.steps}
}

// scriptGenerator draws the steps of a script. A change of the order of its draws changes
// the script of every seed.
type scriptGenerator struct {
	cfg   RandomConfig
	rng   *rand.Rand
	steps []Step
	// stoppedDaemons is the number of daemons stopped so far, and thus the index of the
	// next one to stop.
	stoppedDaemons int
}

// drawInterval draws the times, in milliseconds, at which a fault begins and is
// repaired.
func (g *scriptGenerator) drawInterval() (begin, end int64) {
	durationMillis := float64(g.cfg.Duration.Milliseconds())
	from := earliestFault + g.rng.Float64()*(latestFault-earliestFault)
	to := from + g.rng.Float64()*(latestRepair-from)
	return int64(from * durationMillis), int64(to * durationMillis)
}

// addWithRepair adds a fault and its repair at random times.
func (g *scriptGenerator) addWithRepair(fault, repair Step) {
	fault.AtMillis, repair.AtMillis = g.drawInterval()
	g.steps = append(g.steps, fault, repair)
}

// addFault adds a fault of a random kind. A member fault takes the place of one that
// the configuration does not allow.
func (g *scriptGenerator) addFault() {
	const memberWeight, storeWeight, keyWeight, daemonWeight = 6, 2, 1, 1
	draw := g.rng.IntN(memberWeight + storeWeight + keyWeight + daemonWeight)
	switch {
	case draw < memberWeight:
		g.addMemberFault()
	case draw < memberWeight+storeWeight:
		g.addWithRepair(Step{Action: StoreFaults, StoreFaults: g.drawStoreFaults()}, Step{Action: StoreFaults})
	case draw < memberWeight+storeWeight+keyWeight && g.cfg.Customers > 0:
		customer := g.rng.IntN(g.cfg.Customers)
		g.addWithRepair(Step{Action: KeyWithdraw, Customer: customer}, Step{Action: KeyRestore, Customer: customer})
	case g.stoppedDaemons < g.cfg.MaxDaemonStops:
		g.addDaemonStop()
	default:
		g.addMemberFault()
	}
}

func (g *scriptGenerator) addMemberFault() {
	service := g.rng.IntN(len(g.cfg.Targets))
	targets := g.cfg.Targets[service]
	target := targets[g.rng.IntN(len(targets))]
	const killWeight, allWeights = 1, 5
	if g.rng.IntN(allWeights) < killWeight {
		g.addWithRepair(Step{Action: MemberKill, Service: service, Target: target},
			Step{Action: MemberRestart, Service: service, Target: target})
		return
	}
	g.addWithRepair(Step{Action: MemberFaults, Service: service, Target: target, MemberFaults: g.drawMemberFaults(targets)},
		Step{Action: MemberFaults, Service: service, Target: target})
}

func (g *scriptGenerator) drawMemberFaults(targets []topology.TargetID) group.Faults {
	switch g.rng.IntN(7) {
	case 0:
		return group.Faults{Frozen: true}
	case 1:
		return group.Faults{CutFromMembers: true}
	case 2:
		return group.Faults{CutFromControl: true}
	case 3:
		return group.Faults{CutFrom: []topology.TargetID{targets[g.rng.IntN(len(targets))]}}
	case 4:
		return group.Faults{CutFromMembers: true, CutFromControl: true}
	case 5:
		return group.Faults{DropCommitAnswers: 1 + g.rng.IntN(5)}
	default:
		return group.Faults{ReceiveLagMillis: g.rng.IntN(maxLagMillis), ReplayLagMillis: g.rng.IntN(maxLagMillis)}
	}
}

func (g *scriptGenerator) drawStoreFaults() memstore.Faults {
	switch g.rng.IntN(4) {
	case 0:
		return memstore.Faults{Down: true}
	case 1:
		return memstore.Faults{DelayMillis: g.rng.IntN(maxLagMillis)}
	case 2:
		return memstore.Faults{LoseProbability: g.rng.Float64()}
	default:
		return memstore.Faults{StaleReads: true}
	}
}

// addDaemonStop stops the next daemon, with or without draining it.
func (g *scriptGenerator) addDaemonStop() {
	begin, _ := g.drawInterval()
	action := DaemonKill
	if g.rng.IntN(2) == 0 {
		action = DaemonDrain
	}
	g.steps = append(g.steps, Step{AtMillis: begin, Action: action, Daemon: g.stoppedDaemons})
	g.stoppedDaemons++
}
