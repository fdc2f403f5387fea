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

// Latency objectives of the two kinds and the common deadline, as the load
// description of the service sack-ledger states them for its grown load.
const (
	primaryObjective = 150 * time.Millisecond
	replicaObjective = 250 * time.Millisecond
	requestDeadline  = 1200 * time.Millisecond
)

// Mean service times of the two kinds, from the same load description.
const (
	primaryServiceTime = 4500 * time.Microsecond
	replicaServiceTime = 14 * time.Millisecond
)

//go:embed patterns/lagging-replicas.csv
var laggingReplicasCSV []byte

// Patterns returns all patterns, generated and recorded. The seeds are part of the
// patterns: each run replays the same arrivals.
func Patterns() ([]Pattern, error) {
	recorded, err := ReadArrivals(laggingReplicasCSV)
	if err != nil {
		return nil, err
	}
	return []Pattern{
		{Name: "steady", Description: "half of what the targets can do", Targets: targetGroup(3), ConnectionsPerTarget: 12,
			Arrivals: poissonArrivals(1, 4*time.Second, func(time.Duration) (float64, float64) { return 120, 220 }, 8)},
		{Name: "burst", Description: "all kinds at three times the capacity for a second", Targets: targetGroup(3), ConnectionsPerTarget: 12,
			Arrivals: poissonArrivals(2, 4*time.Second, func(now time.Duration) (float64, float64) {
				if now >= time.Second && now < 2*time.Second {
					return 900, 1300
				}
				return 120, 220
			}, 8)},
		{Name: "hot customer", Description: "one customer at 7.5 times its rate", Targets: targetGroup(3), ConnectionsPerTarget: 12, Arrivals: hotCustomerArrivals()},
		{Name: "slow replica", Description: "a replica five times slower for two seconds", Targets: slowReplicaTargets(), ConnectionsPerTarget: 12,
			Arrivals: poissonArrivals(4, 4*time.Second, func(time.Duration) (float64, float64) { return 120, 220 }, 8)},
		{Name: "primary saturated", Description: "the primary at one and a half times its capacity, replicas half idle", Targets: targetGroup(3), ConnectionsPerTarget: 12,
			Arrivals: poissonArrivals(5, 4*time.Second, func(time.Duration) (float64, float64) { return 1000, 200 }, 8)},
		{Name: "mass return", Description: "two seconds of work at once after a loss of power, then the usual", Targets: targetGroup(3), ConnectionsPerTarget: 12, Arrivals: massReturnArrivals()},
		{Name: "lost responses", Description: "the primary loses one response in five for two seconds", Targets: lossyPrimaryTargets(), ConnectionsPerTarget: 45,
			Arrivals: poissonArrivals(7, 4*time.Second, func(time.Duration) (float64, float64) { return 60, 40 }, 8)},
		{Name: "lagging replicas", Description: "recorded on grown kuttanad, trouble-1, seconds 10 to 16: both replicas trail by seconds",
			Targets: []Target{{ID: "a", Slots: 3}, {ID: "b", Slots: 3, ReplicationLag: 5 * time.Second}, {ID: "c", Slots: 3, ReplicationLag: 5 * time.Second}}, ConnectionsPerTarget: 25, Arrivals: recorded},
	}, nil
}

// targetGroup returns a primary and two replicas with slots each. The replicas lag by
// 60 ms.
func targetGroup(slots int) []Target {
	return []Target{{ID: "a", Slots: slots}, {ID: "b", Slots: slots, ReplicationLag: 60 * time.Millisecond}, {ID: "c", Slots: slots, ReplicationLag: 60 * time.Millisecond}}
}

func lossyPrimaryTargets() []Target {
	targets := targetGroup(2)
	targets[0].LoseEvery, targets[0].LoseFrom, targets[0].LoseUntil = 5, time.Second, 3*time.Second
	return targets
}

func slowReplicaTargets() []Target {
	targets := targetGroup(3)
	targets[1].SlowFactor, targets[1].SlowFrom, targets[1].SlowUntil = 5, time.Second, 3*time.Second
	return targets
}

// poissonArrivals draws the arrivals of two Poisson processes, one for each kind, with a
// resolution of a millisecond. rates returns their rates at a time, in statements per
// second. The customer of each arrival is drawn uniformly.
func poissonArrivals(seed uint64, duration time.Duration, rates func(time.Duration) (primary, replica float64), customers int) []Arrival {
	rng := rand.New(rand.NewPCG(seed, 1))
	var arrivals []Arrival
	for now := time.Duration(0); now < duration; now += time.Millisecond {
		primary, replica := rates(now)
		for kind, rate := range []float64{primary, replica} {
			for range drawPoisson(rng, rate/1000) {
				arrivals = append(arrivals, drawArrival(rng, now, Kind(kind), rng.IntN(customers)))
			}
		}
	}
	return arrivals
}

// drawPoisson draws from a Poisson distribution, in time proportional to the mean.
func drawPoisson(rng *rand.Rand, mean float64) int {
	count := 0
	for remaining := mean - rng.ExpFloat64(); remaining > 0; remaining -= rng.ExpFloat64() {
		count++
	}
	return count
}

// drawArrival draws a statement. Its service time is uniform around the mean, up to two
// thirds less or more.
func drawArrival(rng *rand.Rand, at time.Duration, kind Kind, customer int) Arrival {
	a := Arrival{At: at, Customer: topology.CustomerID(fmt.Sprintf("customer-%d", customer+1)), Session: rng.Uint64N(200),
		Kind: kind, Objective: primaryObjective, Deadline: requestDeadline, ServiceTime: primaryServiceTime}
	if kind == ReplicaAllowed {
		a.FloorAge, a.Objective, a.ServiceTime, a.Priority = time.Second, replicaObjective, replicaServiceTime, 1
	}
	a.ServiceTime = time.Duration(float64(a.ServiceTime) * (1 + (rng.Float64()-0.5)*4/3))
	return a
}

// hotCustomerArrivals adds to the normal load of eight customers a second load of the first
// one, from 1 s to 3 s.
func hotCustomerArrivals() []Arrival {
	normal := poissonArrivals(3, 4*time.Second, func(time.Duration) (float64, float64) { return 120, 220 }, 8)
	hot := poissonArrivals(30, 4*time.Second, func(now time.Duration) (float64, float64) {
		if now < time.Second || now >= 3*time.Second {
			return 0, 0
		}
		return 110, 200
	}, 1)
	return sortByTime(append(normal, hot...))
}

// massReturnArrivals returns the normal load with the arrivals of its first two seconds
// moved to second 2, as callers that reconnect together after an outage send them.
func massReturnArrivals() []Arrival {
	all := poissonArrivals(6, 4*time.Second, func(time.Duration) (float64, float64) { return 120, 220 }, 8)
	for i := range all {
		if all[i].At < 2*time.Second {
			all[i].At = 2 * time.Second
		}
	}
	return sortByTime(all)
}

func sortByTime(arrivals []Arrival) []Arrival {
	slices.SortStableFunc(arrivals, func(a, b Arrival) int { return int(a.At - b.At) })
	return arrivals
}

// ReadArrivals parses a recorded pattern from CSV: a header, then rows of at_ms, customer,
// needs (the kind), floor_age_ms and work_ms (the service time). Objectives, priorities
// and deadlines are those of the generated patterns.
func ReadArrivals(content []byte) ([]Arrival, error) {
	rows, err := csv.NewReader(bytes.NewReader(content)).ReadAll()
	if err != nil {
		return nil, eris.Wrap(err, "parse the CSV of a recorded pattern")
	}
	var arrivals []Arrival
	for index, row := range rows[min(1, len(rows)):] {
		a, err := parseArrival(row)
		if err != nil {
			return nil, eris.Wrapf(err, "row %d", index+2)
		}
		arrivals = append(arrivals, a)
	}
	return sortByTime(arrivals), nil
}

func parseArrival(row []string) (Arrival, error) {
	if len(row) != 5 {
		return Arrival{}, eris.Errorf("row has %d fields, want 5", len(row))
	}
	var durations [3]time.Duration
	for i, field := range []string{row[0], row[3], row[4]} {
		value, err := strconv.ParseUint(field, 10, 31)
		if err != nil {
			return Arrival{}, eris.Wrap(err, "parse a time in milliseconds")
		}
		durations[i] = time.Duration(value) * time.Millisecond
	}
	a := Arrival{At: durations[0], Customer: topology.CustomerID(row[1]), FloorAge: durations[1], ServiceTime: durations[2], Deadline: requestDeadline}
	switch row[2] {
	case PrimaryOnly.String():
		a.Kind, a.Objective = PrimaryOnly, primaryObjective
	case ReplicaAllowed.String():
		a.Kind, a.Objective, a.Priority = ReplicaAllowed, replicaObjective, 1
	default:
		return Arrival{}, eris.Errorf("unknown kind %q, want primary or replica", row[2])
	}
	return a, nil
}
