// Package soak tests entry daemons under fault injection. It runs them as separate
// processes on one machine against stand-ins of the platform, injects faults from
// outside (signals, network faults, outages of the store and of targets) and checks the
// platform's guarantees on the history of what callers and targets saw. A seed
// determines the sequence of faults and operations, but not the timing of the
// processes, so a run is not fully reproducible.
package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"samphirehitch.example/samphirehitch/platform/platformtest"
	"samphirehitch.example/samphirehitch/soak/loopback"
)

// Options are the parameters of a run.
type Options struct {
	// Program is the path of the entry daemon's executable. The daemons' settings and
	// logs are written to Directory.
	Program, Directory string
	// OtherProgram, if not empty, is the executable of every other daemon, such as one of
	// an earlier version.
	OtherProgram string
	Seed         uint64
	// FaultDuration is how long faults are injected.
	FaultDuration time.Duration
	// Daemons, Callers and FaultInjectors are the numbers of entry daemons, of simulated
	// callers, and of concurrent fault injectors. Each injector causes one fault at a
	// time.
	Daemons, Callers, FaultInjectors int
	// Restores has the store restored from older copies, beside the other faults.
	Restores bool
	// PlannedStopsOnly has all daemons terminated and restarted in series instead of
	// injecting faults, with callers that run long transactions at slower targets.
	// FaultInjectors and Restores are ignored.
	PlannedStopsOnly bool
	// SynchronousReplicas is the number of replicas that must have received a commit before
	// it is acknowledged.
	SynchronousReplicas int
	// LogFaults adds faults of replication to the others, after which the logs of a group's
	// members differ.
	LogFaults bool
	// PromotionFaults has promotions take effect late, and adds series of failovers in which
	// the leaders that order promotions are ended.
	PromotionFaults bool
	// PlainValues has callers send values and shapes of letters and digits only, and set no session
	// values, for daemons of earlier versions. The other draws stay the same.
	PlainValues bool
	// Stutter has targets send responses twice, beside the other faults.
	Stutter bool
	// FaultLog receives a line with the time of each fault.
	FaultLog io.Writer
}

// Sizes and timing of the environment.
const (
	groupSize            = 3
	slotsPerTarget       = 3
	connectionsPerTarget = 16
	replicaLag           = 40 * time.Millisecond
	// plannedSlotsPerTarget and plannedConnectionsPerTarget replace the values above in a
	// run with planned stops only, where statements and transactions take longer.
	plannedSlotsPerTarget       = 24
	plannedConnectionsPerTarget = 128
	// meanExecutionTime and maxExecutionTime are the execution times of statements in a
	// run with planned stops only.
	meanExecutionTime = 25 * time.Millisecond
	maxExecutionTime  = 400 * time.Millisecond
	// registrationInterval is the interval at which targets' entries in the store are
	// updated.
	registrationInterval = 150 * time.Millisecond
	// recoveryTime is how long callers continue after the faults were cleared.
	recoveryTime = 3 * time.Second
)

// harness runs the stand-ins, daemons, callers and fault injectors of one run.
type harness struct {
	options          Options
	history          *history
	store            *platformtest.Store
	promotionService *platformtest.PromotionService
	groups           []*platformtest.Group
	targets          []target
	daemons          []*daemon
	balancer         *balancer
	ports            loopback.Ports
	startedAt        time.Time
	plannedRun       plannedRun

	// mu guards harnessErrors and writes to options.FaultLog.
	mu sync.Mutex
	// harnessErrors are failures of the harness itself, such as a daemon that could not
	// be started. They are reported with the violations.
	harnessErrors []string
}

// target is a group member that daemons reach through a proxy.
type target struct {
	proxy  *FaultProxy
	member *platformtest.Member
	// incarnation is written to the target's entry in the store: the time at which the
	// target was created, in Unix milliseconds.
	incarnation int64
}

// Report is the result of a run.
type Report struct {
	Violations []string
	// Summary counts the statements that were not answered or were refused.
	Summary string
}

// Run executes one run and returns its result, or an error if the environment could not be
// started.
func Run(o Options) (Report, error) {
	h := &harness{options: o, history: newHistory(), startedAt: time.Now()}
	defer h.close()
	if err := h.build(); err != nil {
		return Report{}, err
	}
	h.run()
	for _, g := range h.groups {
		fmt.Fprintln(h.options.FaultLog, strings.Join(h.promotionLog(g), "\n"))
	}
	return Report{h.violations(), h.history.summary(h.groups)}, nil
}

// logEvent writes a line with the time since the start of the run to the fault log.
func (h *harness) logEvent(text string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	fmt.Fprintf(h.options.FaultLog, "%7.3f %s\n", time.Since(h.startedAt).Seconds(), text)
}

// recordError records an error of the harness, if there is one.
func (h *harness) recordError(err error) {
	if err == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.harnessErrors = append(h.harnessErrors, eris.ToString(err, false))
}

var customers = []platformtest.Customer{
	{Name: "miller", Key: "key-miller", Rate: 2000, Burst: 2000},
	{Name: "weaver", Key: "key-weaver", Rate: 2000, Burst: 2000},
	{Name: "lodger", Key: "key-lodger", Rate: 2000, Burst: 2000},
}

// withdrawnCustomerIndex is the customer whose key is withdrawn halfway through a run.
const withdrawnCustomerIndex = 2

// allDatabases returns a database of each consistency level for each service.
func allDatabases() []platformtest.Route {
	var databases []platformtest.Route
	for _, service := range []string{"ledger", "orders"} {
		for _, level := range []consistencyLevel{levelPrimary, levelBounded, levelSession} {
			databases = append(databases, platformtest.Route{Host: service + "-" + string(level), Service: service, Type: string(level)})
		}
	}
	return databases
}

// build starts the stand-ins and the daemons.
func (h *harness) build() (err error) {
	if h.store, err = platformtest.StartStore(); err != nil {
		return err
	}
	for i, service := range []string{"ledger", "orders"} {
		slots, connections := h.targetSize()
		g, err := platformtest.StartGroup(service, groupSize, slots, connections, replicaLag)
		if err != nil {
			return err
		}
		g.SetSynchronousReplicas(h.options.SynchronousReplicas)
		if h.options.PlannedStopsOnly {
			g.SetExecutionTimes(platformtest.NewExecutionTimes(meanExecutionTime, maxExecutionTime, rand.NewPCG(h.options.Seed, executionTimesSource+uint64(i))))
		}
		h.groups = append(h.groups, g)
		for _, m := range g.Members() {
			proxy, err := StartFaultProxy(m.Address())
			if err != nil {
				return err
			}
			h.targets = append(h.targets, target{proxy, m, time.Now().UnixMilli()})
		}
	}
	if h.promotionService, err = platformtest.StartPromotionService(h.groups...); err != nil {
		return err
	}
	if err := h.putConfiguration(1, customers); err != nil {
		return err
	}
	for i := range h.options.Daemons {
		if err := h.startDaemon(i); err != nil {
			return err
		}
	}
	return nil
}

// putConfiguration writes the configuration with the given customers to the store.
func (h *harness) putConfiguration(version int, customers []platformtest.Customer) error {
	return h.store.PutConfiguration(version, allDatabases(), h.services(), customers)
}

// targetSize returns the numbers of execution slots and connections of a target.
func (h *harness) targetSize() (slots, connections int) {
	if h.options.PlannedStopsOnly {
		return plannedSlotsPerTarget, plannedConnectionsPerTarget
	}
	return slotsPerTarget, connectionsPerTarget
}

// services returns the services of the configuration.
func (h *harness) services() map[string]platformtest.Service {
	_, connections := h.targetSize()
	service := platformtest.Service{Connections: connections, SynchronousReplicas: h.options.SynchronousReplicas}
	return map[string]platformtest.Service{"ledger": service, "orders": service}
}

// startDaemon starts an entry daemon whose connections to the store go through a proxy of
// its own.
func (h *harness) startDaemon(number int) error {
	proxy, err := StartFaultProxy(h.store.Address())
	if err != nil {
		return err
	}
	program := h.options.Program
	if number%2 == 1 && h.options.OtherProgram != "" {
		program = h.options.OtherProgram
	}
	d, err := newDaemon(program, h.options.Directory, number, proxy, h.promotionService.Address(), &h.ports)
	if err != nil {
		return err
	}
	h.daemons = append(h.daemons, d)
	return d.start()
}

// run runs callers throughout and fault injectors for FaultDuration, withdraws a
// customer's key halfway, and returns when callers have been served again without faults
// for recoveryTime.
func (h *harness) run() {
	stopCallers, stopFaults, stopRegistration := make(chan struct{}), make(chan struct{}), make(chan struct{})
	var callers, injectors, registration sync.WaitGroup
	registration.Go(func() { h.registerTargets(stopRegistration) })
	registration.Go(func() { h.monitorStalls(stopRegistration) })
	h.balancer = newBalancer(h.daemons)
	registration.Go(func() { h.balancer.run(stopRegistration) })
	for i := range h.options.Callers {
		c := h.newCaller(i)
		callers.Go(func() { c.run(stopCallers) })
	}
	if !h.options.PlannedStopsOnly {
		for i := range lingeringCallers {
			c := h.newLingeringCaller(i)
			callers.Go(func() { c.run(stopCallers) })
		}
	}
	h.awaitSuccesses()
	h.plannedRun.servedFrom = time.Now()
	h.logEvent("serving")
	h.startInjectors(&injectors, stopFaults)
	time.Sleep(h.options.FaultDuration / 2)
	h.withdrawKey()
	time.Sleep(h.options.FaultDuration / 2)
	close(stopFaults)
	injectors.Wait()
	h.clearFaults()
	clearedAt := time.Now()
	h.awaitSuccesses()
	h.logEvent(fmt.Sprintf("serving again %s after the last fault", time.Since(clearedAt).Round(time.Millisecond)))
	time.Sleep(recoveryTime)
	h.changeRoutes()
	close(stopCallers)
	callers.Wait()
	close(stopRegistration)
	registration.Wait()
}

// startInjectors starts what disturbs the run until stop is closed.
func (h *harness) startInjectors(injectors *sync.WaitGroup, stop <-chan struct{}) {
	source := func(number uint64) *rand.Rand { return rand.New(rand.NewPCG(h.options.Seed, number)) }
	if h.options.Stutter {
		injectors.Go(func() { h.stutterTargets(source(stutterSource), stop) })
	}
	if h.options.PlannedStopsOnly {
		injectors.Go(func() { h.stopInSeries(source(plannedStopsSource), stop) })
		return
	}
	for injector := range h.options.FaultInjectors {
		injectors.Go(func() { h.injectFaults(source(uint64(injector)), stop) })
	}
	if h.options.Restores {
		injectors.Go(func() { h.restoreStore(source(restoreSource), stop) })
	}
	if h.options.PromotionFaults {
		h.slowDownPromotions()
		for series := range promotionSeries {
			injectors.Go(func() { h.replacePrimaries(source(promotionSeriesSource+uint64(series)), stop) })
		}
	}
}

// restoreSource is the random source of the restores, apart from those of the fault
// injectors and the callers.
const restoreSource = 500

// newCaller returns a caller. Callers are spread over customers and databases. Their
// random sources start at 1000, apart from those of the fault injectors.
func (h *harness) newCaller(number int) *caller {
	databases := allDatabases()
	c := &caller{history: h.history, random: rand.New(rand.NewPCG(h.options.Seed, uint64(1000+number))), number: number,
		customer: customers[number%len(customers)], database: databases[number%len(databases)], item: fmt.Sprintf("item-%d", number)}
	var all []int
	for _, d := range h.daemons {
		c.addresses = append(c.addresses, d.callerAddress)
		all = append(all, d.number)
	}
	c.patient, c.rotation = h.options.PlannedStopsOnly, func() []int { return all }
	if !h.options.PlainValues {
		c.bytes = rand.New(rand.NewPCG(h.options.Seed, uint64(valueSource+number)))
	}
	if c.patient {
		c.rotation = h.balancer.rotation
	}
	return c
}

const (
	// lingeringCallers is the number of lingering callers in a run with faults.
	lingeringCallers = 4
	// lingeringSource is the first random source of these callers, apart from all others.
	lingeringSource = 700
)

// newLingeringCaller returns a caller with the key that is withdrawn during the run.
func (h *harness) newLingeringCaller(number int) *caller {
	c := h.newCaller(h.options.Callers + number)
	c.random = rand.New(rand.NewPCG(h.options.Seed, uint64(lingeringSource+number)))
	c.customer, c.lingering = customers[withdrawnCustomerIndex], true
	return c
}

// awaitSuccesses waits until as many more operations have succeeded as there are callers.
func (h *harness) awaitSuccesses() {
	for before := h.history.successes(); h.history.successes() < before+h.options.Callers; {
		time.Sleep(10 * time.Millisecond)
	}
}

// withdrawKey removes a customer, and with it the customer's key, from the configuration.
func (h *harness) withdrawKey() {
	h.plannedRun.keyWithdrawnFrom = time.Now()
	h.recordError(h.putConfiguration(2, customers[:withdrawnCustomerIndex]))
	h.history.mu.Lock()
	h.history.keyWithdrawnAt[customers[withdrawnCustomerIndex].Name] = time.Now()
	h.history.mu.Unlock()
	h.logEvent("key withdrawn")
}

// clearFaults ends all faults. Faults that overlapped on one daemon or target may have
// been reverted in another order than they were injected, which can leave one in effect.
func (h *harness) clearFaults() {
	h.store.SetUnavailable(false)
	for _, t := range h.targets {
		t.proxy.SetMode(Forward)
		t.member.SetDown(false)
		t.member.SetDeaf(false)
		t.member.SetIsolated(false)
		t.member.SetStatusBusy(false)
		t.member.SetSlow(0)
		t.member.SetStutter(nil)
	}
	for _, d := range h.daemons {
		d.storeProxy.SetMode(Forward)
		d.signal(syscall.SIGCONT)
		h.recordError(d.start())
	}
}

// registerTargets updates the entries of targets in the store when their roles or
// availability change, until stop is closed.
func (h *harness) registerTargets(stop <-chan struct{}) {
	type state struct{ primary, up bool }
	registered := make(map[int]state)
	for sequence := 1; ; sequence++ {
		for i, t := range h.targets {
			primary, up := t.member.Role()
			if now := (state{primary, up}); now != registered[i] {
				registered[i] = now
				h.recordError(h.store.Register(t.member, t.proxy.Address(), t.incarnation, sequence))
			}
		}
		select {
		case <-stop:
			return
		case <-time.After(registrationInterval):
		}
	}
}

// close stops everything that build has started, also if build failed.
func (h *harness) close() {
	for _, d := range h.daemons {
		d.close()
	}
	for _, t := range h.targets {
		t.proxy.Close()
	}
	for _, g := range h.groups {
		g.Close()
	}
	if h.promotionService != nil {
		h.promotionService.Close()
	}
	if h.store != nil {
		h.store.Close()
	}
	h.ports.Close()
}
