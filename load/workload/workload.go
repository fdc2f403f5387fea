// Package workload generates the requests of an open-loop load: one Poisson process of
// arrivals for each customer, determined by a seed. It sends nothing. Open loop means
// that requests arrive at their times however long earlier ones take.
package workload

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Customer is the load of one customer.
type Customer struct {
	// Rate is the mean number of arrivals per second.
	Rate float64 `json:"rate"`
	// Sessions is the number of sessions among which requests are spread at random.
	Sessions int `json:"sessions"`
	// LimitRate, in requests per second, and LimitBurst, in requests, are the rate
	// limit that is configured for the customer.
	LimitRate  float64 `json:"limit_rate"`
	LimitBurst float64 `json:"limit_burst"`
}

// Mix holds the relative weights of the kinds of requests.
type Mix struct {
	Reads        float64 `json:"reads"`
	ReadPairs    float64 `json:"read_pairs"`
	Increments   float64 `json:"increments"`
	Inserts      float64 `json:"inserts"`
	Transactions float64 `json:"transactions"`
}

// Config describes the load.
type Config struct {
	Seed           uint64     `json:"seed"`
	DurationMillis int        `json:"duration_millis"`
	Customers      []Customer `json:"customers"`
	Mix            Mix        `json:"mix"`
	// ReconnectShare is the share of requests before which a session reconnects
	// through another daemon. Half of them reconnect without the session token.
	ReconnectShare float64 `json:"roam_share"`
	// MaxAgeShare is the share of sessions that state MaxAgeMillis as the maximum age
	// of the data that their reads accept.
	MaxAgeShare  float64 `json:"aged_share"`
	MaxAgeMillis int     `json:"age_millis"`
	// DualConnShare is the share of sessions that send a session name and have
	// connections through two daemons at the same time.
	DualConnShare float64 `json:"paired_share"`
	// PreparedShare is the share of sessions that use prepared statements. Preparing
	// one takes a request that the load does not count.
	PreparedShare float64 `json:"prepared_share"`
	// SharedCounters is the number of counters of each service that all of its
	// sessions increment.
	SharedCounters int `json:"shared_counters"`
	// TimeoutMillis bounds each request, from the time at which its session begins it.
	TimeoutMillis int `json:"timeout_millis"`
	// WithdrawalGraceMillis is how long a key may still work after its withdrawal.
	WithdrawalGraceMillis int `json:"withdrawal_millis"`
}

// Default returns a load of n customers. Each has a limit of twice the rate and sends
// at the rate, except the last one, which sends at four times its limit.
func Default(n int, rate float64) Config {
	const overloadFactor = 4
	cfg := Config{
		Seed:                  1,
		DurationMillis:        10_000,
		Mix:                   Mix{Reads: 0.6, ReadPairs: 0.1, Increments: 0.15, Inserts: 0.1, Transactions: 0.05},
		ReconnectShare:        0.02,
		MaxAgeShare:           0.25,
		MaxAgeMillis:          1000,
		DualConnShare:         0.25,
		SharedCounters:        4,
		TimeoutMillis:         5000,
		WithdrawalGraceMillis: 5000,
	}
	for range n {
		cfg.Customers = append(cfg.Customers, Customer{Rate: rate, Sessions: 8, LimitRate: 2 * rate, LimitBurst: rate})
	}
	cfg.Customers[n-1].Rate = overloadFactor * cfg.Customers[n-1].LimitRate
	return cfg
}

// Duration returns the time during which requests arrive.
func (c Config) Duration() time.Duration { return time.Duration(c.DurationMillis) * time.Millisecond }

// Timeout returns the timeout of a request.
func (c Config) Timeout() time.Duration { return time.Duration(c.TimeoutMillis) * time.Millisecond }

// MaxAge returns the maximum age of data that sessions state, if they state one.
func (c Config) MaxAge() time.Duration { return time.Duration(c.MaxAgeMillis) * time.Millisecond }

// Validate returns an error if the load cannot be run.
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

// Kinds of requests, in the order of the fields of Mix. A ReadPair is two reads in one
// pipeline; a Transaction inserts two rows.
const (
	Read Kind = iota
	ReadPair
	Increment
	Insert
	Transaction
)

// Writes reports whether requests of the kind change data.
func (k Kind) Writes() bool { return k == Increment || k == Insert || k == Transaction }

// Reconnect says whether a session reconnects through another daemon before a request,
// and whether it then presents its session token.
type Reconnect uint8

// Values of Reconnect.
const (
	NoReconnect Reconnect = iota
	ReconnectWithToken
	ReconnectWithoutToken
)

// Operation is one request of the load.
type Operation struct {
	// ArrivesAt is when the request is due, from the start of the load.
	ArrivesAt time.Duration
	// Session is the index of the customer's session that sends the request.
	Session   int
	Kind      Kind
	Reconnect Reconnect
	// RandomBits selects the connection and the rows of the request.
	RandomBits uint64
}

// Generator generates the operations of one customer in the order of their arrival. A
// change of the order of its random draws changes the load of every seed.
type Generator struct {
	cfg      Config
	customer Customer
	rng      *rand.Rand
	now      time.Duration
}

// NewGenerator returns the generator for the customer with the given index. Each customer
// has a random sequence of its own.
func NewGenerator(cfg Config, customer int) *Generator {
	return &Generator{
		cfg:      cfg,
		customer: cfg.Customers[customer],
		rng:      rand.New(rand.NewPCG(cfg.Seed, uint64(customer))),
	}
}

// Next returns the next operation. It returns false once the time of arrivals is over; the
// operation returned with it is not part of the load.
func (g *Generator) Next() (Operation, bool) {
	g.now += time.Duration(g.rng.ExpFloat64() / g.customer.Rate * float64(time.Second))
	op := Operation{
		ArrivesAt:  g.now,
		Session:    g.rng.IntN(g.customer.Sessions),
		Kind:       g.drawKind(),
		Reconnect:  g.drawReconnect(),
		RandomBits: g.rng.Uint64(),
	}
	return op, g.now < g.cfg.Duration()
}

func (g *Generator) drawKind() Kind {
	mix := g.cfg.Mix
	weights := []float64{mix.Reads, mix.ReadPairs, mix.Increments, mix.Inserts, mix.Transactions}
	var sum float64
	for _, weight := range weights {
		sum += weight
	}
	draw := g.rng.Float64() * sum
	for kind, weight := range weights {
		if draw < weight {
			return Kind(kind)
		}
		draw -= weight
	}
	return Read
}

func (g *Generator) drawReconnect() Reconnect {
	draw := g.rng.Float64()
	switch {
	case draw < g.cfg.ReconnectShare/2:
		return ReconnectWithToken
	case draw < g.cfg.ReconnectShare:
		return ReconnectWithoutToken
	default:
		return NoReconnect
	}
}
