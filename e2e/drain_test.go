// Package e2e tests the programs as separate processes, from the clients' side.
package e2e

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

var seed = flag.Uint64("seed", 36, "seed of the load and of the stops")

// Parameters of the load and of the series of stops.
const (
	clientsPerDriver = 4
	stops            = 3
	// stopInterval separates a daemon's return from the next stop.
	stopInterval = time.Second
	// maxPause bounds a client's pause between operations and its rests in them.
	maxPause = 20 * time.Millisecond
	// operationsPerSession is the mean number of operations after which a client connects
	// again, so that a daemon that has returned gets sessions.
	operationsPerSession = 50
)

// SQLSTATEs of a drain; see docs/ERRORS.md.
const (
	codeAdminShutdown  = "57P01" // not run
	codeOutcomeUnknown = "08007"
)

// A stop of one daemon of several refused or cut what callers had sent. The daemons stop in a
// series under the load of both drivers; clients hold transactions, COPY, statements and idle
// connections through each stop. The first round stops nothing and has to succeed wholly.
func TestDrainsInSeriesCostClientsNothing(t *testing.T) {
	d := startDeployment(t, 2)
	h := &history{t: t, rows: map[string]outcome{}, counters: map[string]*counter{}, counts: map[string]int{}}
	h.addCounters(d)

	var clients sync.WaitGroup
	done := make(chan struct{})
	for i, driver := range drivers {
		for j := range clientsPerDriver {
			random := rand.New(rand.NewPCG(*seed, uint64(i*clientsPerDriver+j)))
			clients.Go(func() { (&client{d, h, driver, driver.counter(j), random}).run(done) })
		}
	}
	random := rand.New(rand.NewPCG(*seed, uint64(len(drivers)*clientsPerDriver)))
	d.holdThroughStop(h, "calm", nil)
	h.checkCalm()
	for i := range stops {
		time.Sleep(stopInterval)
		daemon := d.daemons[random.IntN(len(d.daemons))]
		d.holdThroughStop(h, fmt.Sprintf("stop-%d", i), daemon)
		d.startDaemon(t, daemon)
		daemon.awaitReady(t)
	}
	time.Sleep(stopInterval)
	close(done)
	clients.Wait()
	h.compare(d)
	t.Logf("primaries: %s\n%s", d.primaries(t), h.summary())
	for _, driver := range drivers {
		for _, operation := range operations {
			if h.counts[driver.name+" "+operation+" committed"] == 0 {
				t.Errorf("%s: no %s succeeded", driver.name, operation)
			}
		}
	}
}

// client runs operations on sessions of one driver, one after the other.
type client struct {
	deployment *deployment
	history    *history
	driver     driver
	counter    string
	random     *rand.Rand
}

// operations are what a client draws from.
var operations = []string{"increment", "insert", "transaction", "copy", "read"}

// run opens a session after the other, each until its daemon stops.
func (c *client) run(done <-chan struct{}) {
	for number := 0; ; {
		s := c.connect()
		for s != nil {
			select {
			case <-done:
				s.close()
				c.history.checkEnd(c.driver.name, s)
				return
			default:
			}
			number++
			if !c.operate(s, fmt.Sprintf("%s-%d", c.counter, number)) || c.random.IntN(operationsPerSession) == 0 {
				s.close()
				c.history.checkEnd(c.driver.name, s)
				s = nil
			}
			c.pause()
		}
	}
}

// connect opens a session to a random daemon that serves. It returns nil if that daemon has
// been told to stop in the meantime.
func (c *client) connect() session {
	serving := slices.DeleteFunc(slices.Clone(c.deployment.daemons), func(p *daemonProcess) bool { return !p.serving.Load() })
	daemon := serving[c.random.IntN(len(serving))]
	s, err := c.driver.open(daemon.callerAddress, keyID, c.deployment.secret, serviceID)
	if err == nil {
		return s
	}
	if daemon.serving.Load() || !slices.Contains([]string{"", codeAdminShutdown}, sqlState(err)) {
		c.history.t.Errorf("%s: a login is refused: %v", c.driver.name, err)
	}
	c.history.count(c.driver.name + " login at a stopped daemon")
	c.pause()
	return nil
}

func (c *client) pause() { time.Sleep(time.Duration(c.random.Int64N(int64(maxPause)))) }

// operate runs one operation and records its outcome. It reports whether the session goes on.
func (c *client) operate(s session, key string) bool {
	operation := operations[c.random.IntN(len(operations))]
	var e effect
	var err error
	switch operation {
	case "increment":
		e.counter = c.counter
		err = s.increment(c.counter)
	case "insert":
		e.rows = []string{key}
		err = s.insert(key)
	case "transaction":
		e = effect{rows: []string{key}, counter: c.counter}
		err = s.transaction(key, c.counter, c.pause)
	case "copy":
		e.rows = []string{key + "a", key + "b", key + "c"}
		err = s.copyIn(e.rows, c.pause)
	case "read":
		confirmed := c.history.confirmed(c.counter)
		var value string
		if value, err = s.read(c.counter); err == nil {
			if n, _ := strconv.Atoi(value); n < confirmed {
				c.history.t.Errorf("%s: a read returned %d after %d confirmed increments", c.driver.name, n, confirmed)
			}
		}
	}
	c.history.record(c.driver.name+" "+operation, s, e, err)
	return err == nil
}

// holdThroughStop opens sessions of both drivers at a daemon that rest in a transaction, in
// COPY, in a statement that runs and idle, and stops the daemon. Without a daemon to stop, it
// lets the same sessions at the first one end by themselves.
func (d *deployment) holdThroughStop(h *history, label string, stopped *daemonProcess) {
	daemon := stopped
	if daemon == nil {
		daemon = d.daemons[0]
	}
	released := make(chan struct{})
	var resting, held sync.WaitGroup
	hold := func(driver driver, activity string, act func(s session, key string, rest func()) error) {
		s, err := driver.open(daemon.callerAddress, keyID, d.secret, serviceID)
		if err != nil {
			h.t.Errorf("%s %s: a login is refused: %v", driver.name, activity, err)
			return
		}
		resting.Add(1)
		arrived := sync.OnceFunc(resting.Done)
		held.Go(func() {
			defer arrived()
			key := strings.Join([]string{label, driver.name, activity}, "-")
			err := act(s, key, func() { arrived(); <-released })
			want := committed
			if stopped != nil && activity != "sleep" {
				want = notRun
			}
			got := h.record(driver.name+" held "+activity, s, effectOf(driver, activity, key), err)
			if got != want {
				h.t.Errorf("%s: %v (%v), want %v", key, got, err, want)
			}
			if stopped != nil {
				if s.wire().readRest(); !s.wire().dismissed() {
					h.t.Errorf("%s: the connection ends without 57P01", key)
				}
			}
			s.close()
			h.checkEnd(driver.name, s)
		})
	}
	for _, driver := range drivers {
		hold(driver, "transaction", func(s session, key string, rest func()) error {
			return s.transaction(key, driver.heldCounter(), rest)
		})
		hold(driver, "copy", func(s session, key string, rest func()) error { return s.copyIn([]string{key, key + "b"}, rest) })
		hold(driver, "idle", func(s session, key string, rest func()) error { rest(); return s.insert(key) })
		hold(driver, "sleep", func(s session, _ string, rest func()) error {
			result := make(chan error, 1)
			go func() { result <- s.sleep() }()
			time.Sleep(maxPause) // the statement has been sent by then
			rest()
			return <-result
		})
	}
	resting.Wait()
	if stopped != nil {
		stopped.terminate(h.t)
		stopped.awaitExit(h.t)
	} else {
		time.Sleep(drainTimeout)
	}
	close(released)
	held.Wait()
}

// effectOf returns what an activity of holdThroughStop does if it commits.
func effectOf(driver driver, activity, key string) effect {
	switch activity {
	case "sleep":
		return effect{}
	case "copy":
		return effect{rows: []string{key, key + "b"}}
	case "transaction":
		return effect{rows: []string{key}, counter: driver.heldCounter()}
	default:
		return effect{rows: []string{key}}
	}
}

// addCounters adds the counters of all clients.
func (h *history) addCounters(d *deployment) {
	conn := d.connectPrimary(h.t)
	for _, driver := range drivers {
		names := []string{driver.heldCounter()}
		for i := range clientsPerDriver {
			names = append(names, driver.counter(i))
		}
		for _, name := range names {
			if _, err := conn.Exec(context.Background(), insertSQL, name, "0"); err != nil {
				h.t.Fatal(err)
			}
			h.counters[name] = &counter{}
		}
	}
}
