// Package workload generates open-loop arrivals: Poisson processes of requests,
// one for each customer, from a seed. It sends nothing.
package workload

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Customer is the load of one customer.
type Customer struct {
	// Rate is how many requests arrive in a second.
	Rate float64 `json:"rate"`
	// Sessions is how many sessions the requests are spread over.
	Sessions int `json:"sessions"`
	// LimitRate and LimitBurst are the customer's limit record, in requests per
	// second and requests.
	LimitRate  float64 `json:"limit_rate"`
	LimitBurst float64 `json:"limit_burst"`
}

// Mix weighs the kinds of requests against each other.
type Mix struct {
	Reads        float64 `json:"reads"`
	ReadPairs    float64 `json:"read_pairs"`
	Increments   float64 `json:"increments"`
	Inserts      float64 `json:"inserts"`
	Transactions float64 `json:"transactions"`
}

// Config sets up the load.
type Config struct {
	Seed           uint64     `json:"seed"`
	DurationMillis int        `json:"duration_millis"`
	Customers      []Customer `json:"customers"`
	Mix            Mix        `json:"mix"`
	// RoamShare is the share of requests before which a session reconnects
	// through another daemon, one in two of these without its token.
	RoamShare float64 `json:"roam_share"`
	// AgedShare is the share of sessions that accept data of AgeMillis.
	AgedShare float64 `json:"aged_share"`
	AgeMillis int     `json:"age_millis"`
	// PairedShare is the share of sessions that name themselves and are open
	// through two daemons at once.
	PairedShare float64 `json:"paired_share"`
	// PreparedShare is the share of sessions that prepare their statements,
	// which costs them requests that the load doesn't count.
	PreparedShare float64 `json:"prepared_share"`
	// SharedCounters is how many counters of a service all sessions increment.
	SharedCounters int `json:"shared_counters"`
	// TimeoutMillis bounds a request.
	TimeoutMillis int `json:"timeout_millis"`
	// WithdrawalMillis is how long a withdrawn key may still work.
	WithdrawalMillis int `json:"withdrawal_millis"`
}

// Default returns a load of n customers at the rate each, the last one at
// several times its limit.
func Default(n int, rate float64) Config {
	const overload = 4
	cfg := Config{
		Seed:             1,
		DurationMillis:   10_000,
		Mix:              Mix{Reads: 0.6, ReadPairs: 0.1, Increments: 0.15, Inserts: 0.1, Transactions: 0.05},
		RoamShare:        0.02,
		AgedShare:        0.25,
		AgeMillis:        1000,
		PairedShare:      0.25,
		SharedCounters:   4,
		TimeoutMillis:    5000,
		WithdrawalMillis: 5000,
	}
	for range n {
		cfg.Customers = append(cfg.Customers, Customer{Rate: rate, Sessions: 8, LimitRate: 2 * rate, LimitBurst: rate})
	}
	cfg.Customers[n-1].Rate = overload * cfg.Customers[n-1].LimitRate
	return cfg
}

// Duration returns how long arrivals go on.
func (c Config) Duration() time.Duration { return time.Duration(c.DurationMillis) * time.Millisecond }

// Timeout returns the bound of a request.
func (c Config) Timeout() time.Duration { return time.Duration(c.TimeoutMillis) * time.Millisecond }

// Age returns the age that aged sessions accept.
func (c Config) Age() time.Duration { return time.Duration(c.AgeMillis) * time.Millisecond }

// Validate reports a configuration that can't run.
func (c Config) Validate() error {
	if len(c.Customers) == 0 || c.DurationMillis <= 0 || c.TimeoutMillis <= 0 || c.SharedCounters <= 0 {
		return fmt.Errorf("customers, duration_millis, timeout_millis and shared_counters must be positive")
	}
	for i, customer := range c.Customers {
		if customer.Rate <= 0 || customer.Sessions <= 0 || customer.LimitRate <= 0 {
			return fmt.Errorf("customer %d: rate, sessions and limit_rate must be positive", i)
		}
	}
	return nil
}

// Kind is a kind of request.
type Kind uint8

// Kinds of requests. A pair is two reads in one pipeline; a transaction inserts
// two rows.
const (
	Read Kind = iota
	ReadPair
	Increment
	Insert
	Transaction
)

// Writes reports whether the kind changes data.
func (k Kind) Writes() bool { return k == Increment || k == Insert || k == Transaction }

// Roam says whether a session reconnects before a request.
type Roam uint8

// Ways to roam.
const (
	Stay Roam = iota
	RoamWithToken
	RoamWithout
)

// Operation is one arrival.
type Operation struct {
	At      time.Duration
	Session int
	Kind    Kind
	Roam    Roam
	// Choice picks what the operation touches.
	Choice uint64
}

// Generator yields the arrivals of one customer in order.
type Generator struct {
	cfg      Config
	customer Customer
	rand     *rand.Rand
	now      time.Duration
}

// NewGenerator returns the generator of the customer of that number.
func NewGenerator(cfg Config, customer int) *Generator {
	return &Generator{
		cfg:      cfg,
		customer: cfg.Customers[customer],
		rand:     rand.New(rand.NewPCG(cfg.Seed, uint64(customer))),
	}
}

// Next returns the next arrival, and false after the duration.
func (g *Generator) Next() (Operation, bool) {
	g.now += time.Duration(g.rand.ExpFloat64() / g.customer.Rate * float64(time.Second))
	op := Operation{
		At:      g.now,
		Session: g.rand.IntN(g.customer.Sessions),
		Kind:    g.kind(),
		Roam:    g.roam(),
		Choice:  g.rand.Uint64(),
	}
	return op, g.now < g.cfg.Duration()
}

func (g *Generator) kind() Kind {
	mix := g.cfg.Mix
	weights := []float64{mix.Reads, mix.ReadPairs, mix.Increments, mix.Inserts, mix.Transactions}
	var sum float64
	for _, weight := range weights {
		sum += weight
	}
	drawn := g.rand.Float64() * sum
	for kind, weight := range weights {
		if drawn < weight {
			return Kind(kind)
		}
		drawn -= weight
	}
	return Read
}

func (g *Generator) roam() Roam {
	drawn := g.rand.Float64()
	switch {
	case drawn < g.cfg.RoamShare/2:
		return RoamWithToken
	case drawn < g.cfg.RoamShare:
		return RoamWithout
	default:
		return Stay
	}
}
