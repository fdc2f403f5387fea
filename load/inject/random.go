package inject

import (
	"math/rand/v2"
	"slices"
	"time"

	"samphirehitch.example/samphirehitch/process/store/memstore"
	"samphirehitch.example/samphirehitch/process/topology"
	"samphirehitch.example/samphirehitch/standin/group"
)

// Plan bounds a random script.
type Plan struct {
	Seed     uint64
	Duration time.Duration
	// Targets names the targets of each service.
	Targets [][]topology.TargetID
	// Customers is how many customers may lose their key for a while.
	Customers int
	// Daemons is how many daemons may be stopped for good.
	Daemons int
	// Faults is how many faults there are. Each but the daemons' is repaired.
	Faults int
}

// Shares of the duration within which faults begin and are repaired, so that
// the end finds a whole deployment.
const (
	firstFault = 0.1
	lastFault  = 0.7
	lastRepair = 0.85
)

// longestLagMillis bounds the lags of a random script.
const longestLagMillis = 500

// Random returns a script that follows from the seed. Faults overlap as they
// fall, on the same part as well.
func Random(plan Plan) Script {
	r := &randomizer{plan: plan, rand: rand.New(rand.NewPCG(plan.Seed, 0))}
	for range plan.Faults {
		r.fault()
	}
	slices.SortStableFunc(r.steps, func(a, b Step) int { return int(a.AtMillis - b.AtMillis) })
	return Script{Steps: r.steps}
}

type randomizer struct {
	plan    Plan
	rand    *rand.Rand
	steps   []Step
	stopped int
}

// times draws when a fault begins and when it is repaired.
func (r *randomizer) times() (begin, end int64) {
	total := float64(r.plan.Duration.Milliseconds())
	from := firstFault + r.rand.Float64()*(lastFault-firstFault)
	to := from + r.rand.Float64()*(lastRepair-from)
	return int64(from * total), int64(to * total)
}

// pair adds a fault and its repair.
func (r *randomizer) pair(fault, repair Step) {
	fault.AtMillis, repair.AtMillis = r.times()
	r.steps = append(r.steps, fault, repair)
}

func (r *randomizer) fault() {
	const memberWeight, storeWeight, keyWeight, daemonWeight = 6, 2, 1, 1
	drawn := r.rand.IntN(memberWeight + storeWeight + keyWeight + daemonWeight)
	switch {
	case drawn < memberWeight:
		r.member()
	case drawn < memberWeight+storeWeight:
		r.pair(Step{Action: StoreFaults, Store: r.storeFaults()}, Step{Action: StoreFaults})
	case drawn < memberWeight+storeWeight+keyWeight && r.plan.Customers > 0:
		customer := r.rand.IntN(r.plan.Customers)
		r.pair(Step{Action: KeyWithdraw, Customer: customer}, Step{Action: KeyRestore, Customer: customer})
	case r.stopped < r.plan.Daemons:
		r.daemon()
	default:
		r.member()
	}
}

func (r *randomizer) member() {
	service := r.rand.IntN(len(r.plan.Targets))
	targets := r.plan.Targets[service]
	target := targets[r.rand.IntN(len(targets))]
	const killWeight, allWeights = 1, 5
	if r.rand.IntN(allWeights) < killWeight {
		r.pair(Step{Action: MemberKill, Service: service, Target: target},
			Step{Action: MemberRestart, Service: service, Target: target})
		return
	}
	r.pair(Step{Action: MemberFaults, Service: service, Target: target, Faults: r.memberFaults(targets)},
		Step{Action: MemberFaults, Service: service, Target: target})
}

func (r *randomizer) memberFaults(targets []topology.TargetID) group.Faults {
	switch r.rand.IntN(7) {
	case 0:
		return group.Faults{Frozen: true}
	case 1:
		return group.Faults{CutFromMembers: true}
	case 2:
		return group.Faults{CutFromControl: true}
	case 3:
		return group.Faults{CutFrom: []topology.TargetID{targets[r.rand.IntN(len(targets))]}}
	case 4:
		return group.Faults{CutFromMembers: true, CutFromControl: true}
	case 5:
		return group.Faults{DropCommitAnswers: 1 + r.rand.IntN(5)}
	default:
		return group.Faults{ReceiveLagMillis: r.rand.IntN(longestLagMillis), ReplayLagMillis: r.rand.IntN(longestLagMillis)}
	}
}

func (r *randomizer) storeFaults() memstore.Faults {
	switch r.rand.IntN(4) {
	case 0:
		return memstore.Faults{Down: true}
	case 1:
		return memstore.Faults{DelayMillis: r.rand.IntN(longestLagMillis)}
	case 2:
		return memstore.Faults{LoseProbability: r.rand.Float64()}
	default:
		return memstore.Faults{StaleReads: true}
	}
}

func (r *randomizer) daemon() {
	begin, _ := r.times()
	action := DaemonKill
	if r.rand.IntN(2) == 0 {
		action = DaemonDrain
	}
	r.steps = append(r.steps, Step{AtMillis: begin, Action: action, Daemon: r.stopped})
	r.stopped++
}
