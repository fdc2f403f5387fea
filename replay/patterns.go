package replay

import (
	"bytes"
	_ "embed"
	"encoding/csv"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"samphirehitch.example/samphirehitch/process/topology"
)

// Objectives and deadlines of the two kinds, those of the grown sack-ledger sheets.
const (
	primaryObjective = 150 * time.Millisecond
	replicaObjective = 250 * time.Millisecond
	deadline         = 1200 * time.Millisecond
)

// Work of the two kinds, their means on the same sheets.
const (
	primaryWork = 4500 * time.Microsecond
	replicaWork = 14 * time.Millisecond
)

//go:embed patterns/lagging-replicas.csv
var laggingReplicas []byte

// Patterns returns all patterns.
func Patterns() ([]Pattern, error) {
	recorded, err := ReadArrivals(laggingReplicas)
	if err != nil {
		return nil, err
	}
	return []Pattern{
		{Name: "steady", Load: "half of what the targets can do", Targets: group(3), Connections: 12,
			Arrivals: stream(1, 4*time.Second, func(time.Duration) (float64, float64) { return 120, 220 }, 8)},
		{Name: "burst", Load: "all kinds at three times the capacity for a second", Targets: group(3), Connections: 12,
			Arrivals: stream(2, 4*time.Second, func(now time.Duration) (float64, float64) {
				if now >= time.Second && now < 2*time.Second {
					return 900, 1300
				}
				return 120, 220
			}, 8)},
		{Name: "hot customer", Load: "one customer at 7.5 times its rate", Targets: group(3), Connections: 12, Arrivals: hotCustomer()},
		{Name: "slow replica", Load: "a replica five times slower for two seconds", Targets: slowReplica(), Connections: 12,
			Arrivals: stream(4, 4*time.Second, func(time.Duration) (float64, float64) { return 120, 220 }, 8)},
		{Name: "primary saturated", Load: "the primary at one and a half times its capacity, replicas half idle", Targets: group(3), Connections: 12,
			Arrivals: stream(5, 4*time.Second, func(time.Duration) (float64, float64) { return 1000, 200 }, 8)},
		{Name: "mass return", Load: "two seconds of work at once after a loss of power, then the usual", Targets: group(3), Connections: 12, Arrivals: massReturn()},
		{Name: "lagging replicas", Load: "recorded on grown kuttanad, trouble-1, seconds 10 to 16: both replicas trail by seconds",
			Targets: []Target{{ID: "a", Slots: 3}, {ID: "b", Slots: 3, Lag: 5 * time.Second}, {ID: "c", Slots: 3, Lag: 5 * time.Second}}, Connections: 25, Arrivals: recorded},
	}, nil
}

func group(slots int) []Target {
	return []Target{{ID: "a", Slots: slots}, {ID: "b", Slots: slots, Lag: 60 * time.Millisecond}, {ID: "c", Slots: slots, Lag: 60 * time.Millisecond}}
}

func slowReplica() []Target {
	targets := group(3)
	targets[1].Slow, targets[1].SlowFrom, targets[1].SlowUntil = 5, time.Second, 3*time.Second
	return targets
}

// stream is two Poisson processes of the rates that a function of time gives, in
// statements a second, over a number of customers.
func stream(seed uint64, length time.Duration, rates func(time.Duration) (primary, replica float64), customers int) []Arrival {
	random := rand.New(rand.NewPCG(seed, 1))
	var arrivals []Arrival
	for now := time.Duration(0); now < length; now += time.Millisecond {
		primary, replica := rates(now)
		for kind, rate := range []float64{primary, replica} {
			for range poisson(random, rate/1000) {
				arrivals = append(arrivals, arrival(random, now, Kind(kind), random.IntN(customers)))
			}
		}
	}
	return arrivals
}

// poisson draws how many of events of a small mean come.
func poisson(random *rand.Rand, mean float64) int {
	count := 0
	for left := mean - random.ExpFloat64(); left > 0; left -= random.ExpFloat64() {
		count++
	}
	return count
}

// arrival draws a statement. The work varies around its mean by up to two thirds.
func arrival(random *rand.Rand, at time.Duration, kind Kind, customer int) Arrival {
	a := Arrival{At: at, Customer: topology.CustomerID(fmt.Sprintf("customer-%d", customer+1)), Session: random.Uint64N(200),
		Kind: kind, Objective: primaryObjective, Deadline: deadline, Work: primaryWork}
	if kind == Replica {
		a.FloorAge, a.Objective, a.Work, a.Priority = time.Second, replicaObjective, replicaWork, 1
	}
	a.Work = time.Duration(float64(a.Work) * (1 + (random.Float64()-0.5)*4/3))
	return a
}

func hotCustomer() []Arrival {
	usual := stream(3, 4*time.Second, func(time.Duration) (float64, float64) { return 120, 220 }, 8)
	hot := stream(30, 4*time.Second, func(now time.Duration) (float64, float64) {
		if now < time.Second || now >= 3*time.Second {
			return 0, 0
		}
		return 110, 200
	}, 1)
	return sorted(append(usual, hot...))
}

func massReturn() []Arrival {
	all := stream(6, 4*time.Second, func(time.Duration) (float64, float64) { return 120, 220 }, 8)
	for i := range all {
		if all[i].At < 2*time.Second {
			all[i].At = 2 * time.Second
		}
	}
	return sorted(all)
}

func sorted(arrivals []Arrival) []Arrival {
	slices.SortStableFunc(arrivals, func(a, b Arrival) int { return int(a.At - b.At) })
	return arrivals
}

// ReadArrivals reads a recorded pattern: rows of at_ms, customer, needs, floor_age_ms
// and work_ms, in order of time, below a title.
func ReadArrivals(content []byte) ([]Arrival, error) {
	rows, err := csv.NewReader(bytes.NewReader(content)).ReadAll()
	if err != nil {
		return nil, eris.Wrap(err, "read arrivals")
	}
	var arrivals []Arrival
	for number, row := range rows[min(1, len(rows)):] {
		a, err := parseArrival(row)
		if err != nil {
			return nil, eris.Wrapf(err, "row %d", number+2)
		}
		arrivals = append(arrivals, a)
	}
	return sorted(arrivals), nil
}

func parseArrival(row []string) (Arrival, error) {
	if len(row) != 5 {
		return Arrival{}, eris.Errorf("%d fields, want 5", len(row))
	}
	var figures [3]time.Duration
	for i, field := range []string{row[0], row[3], row[4]} {
		value, err := strconv.ParseUint(field, 10, 31)
		if err != nil {
			return Arrival{}, eris.Wrap(err, "read a time in milliseconds")
		}
		figures[i] = time.Duration(value) * time.Millisecond
	}
	a := Arrival{At: figures[0], Customer: topology.CustomerID(row[1]), FloorAge: figures[1], Work: figures[2], Deadline: deadline}
	switch row[2] {
	case Primary.String():
		a.Kind, a.Objective = Primary, primaryObjective
	case Replica.String():
		a.Kind, a.Objective, a.Priority = Replica, replicaObjective, 1
	default:
		return Arrival{}, eris.Errorf("unknown kind %q", row[2])
	}
	return a, nil
}
