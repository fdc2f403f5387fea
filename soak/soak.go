// Package soak runs the entry daemon as separate processes on one machine against the
// stand-ins of the platform, makes things go wrong from outside and checks the
// platform's promises from what callers and targets see. Each run follows a seed; the
// processes' own timing is not part of it.
package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"samphirehitch.example/samphirehitch/platform/platformtest"
)

// Options of a run.
type Options struct {
	// Program is the daemon's executable; Directory takes settings and logs.
	Program, Directory string
	Seed               uint64
	// Length is how long things go wrong.
	Length time.Duration
	// Daemons, Callers and Lanes are how many instances serve, callers ask and faults
	// overlap.
	Daemons, Callers, Lanes int
	// Kinds is how many of the kinds of faults are drawn from, zero for all.
	Kinds int
	// Out takes what goes wrong and when.
	Out io.Writer
}

// Sizes of the stand-ins.
const (
	groupSize   = 3
	slots       = 3
	connections = 16
	replicaLag  = 40 * time.Millisecond
	// registerInterval is the pause between looks at whether targets changed.
	registerInterval = 150 * time.Millisecond
	// settleTime is how long callers go on after the last fault.
	settleTime = 3 * time.Second
)

// world is one run.
type world struct {
	options Options
	record  *record
	store   *platformtest.Store
	cloud   *platformtest.Cloud
	groups  []*platformtest.Group
	proxies []targetProxy
	daemons []*daemon
	ports   ports
	began   time.Time

	mu       sync.Mutex
	failures []string
}

type targetProxy struct {
	proxy  *Proxy
	member *platformtest.Member
	born   int64
}

// Run makes one run and returns the promises that were broken.
func Run(o Options) ([]string, error) {
	w := &world{options: o, record: newRecord(), began: time.Now()}
	defer w.close()
	if err := w.build(); err != nil {
		return nil, err
	}
	w.play()
	return append(w.record.judge(w.groups), w.failures...), nil
}

func (w *world) log(text string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.options.Out, "%7.3f %s\n", time.Since(w.began).Seconds(), text)
}

// note keeps an error of the scaffolding.
func (w *world) note(err error) {
	if err == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failures = append(w.failures, eris.ToString(err, false))
}

var customers = []platformtest.Customer{
	{Name: "miller", Key: "key-miller", Rate: 2000, Burst: 2000},
	{Name: "weaver", Key: "key-weaver", Rate: 2000, Burst: 2000},
	{Name: "lodger", Key: "key-lodger", Rate: 2000, Burst: 2000},
}

// withdrawnCustomer loses its key halfway through a run.
const withdrawnCustomer = 2

func databases() []platformtest.Database {
	var all []platformtest.Database
	for _, service := range []string{"ledger", "orders"} {
		for _, l := range []level{strict, bounded, session} {
			all = append(all, platformtest.Database{Host: service + "-" + string(l), Service: service, Type: string(l)})
		}
	}
	return all
}

func (w *world) build() (err error) {
	if w.store, err = platformtest.StartStore(); err != nil {
		return err
	}
	for _, service := range []string{"ledger", "orders"} {
		g, err := platformtest.StartGroup(service, groupSize, slots, connections, replicaLag)
		if err != nil {
			return err
		}
		w.groups = append(w.groups, g)
		for _, m := range g.Members() {
			proxy, err := StartProxy(m.Address())
			if err != nil {
				return err
			}
			w.proxies = append(w.proxies, targetProxy{proxy, m, time.Now().UnixMilli()})
		}
	}
	if w.cloud, err = platformtest.StartCloud(w.groups...); err != nil {
		return err
	}
	if err := w.configure(1, customers); err != nil {
		return err
	}
	for i := range w.options.Daemons {
		if err := w.addDaemon(i); err != nil {
			return err
		}
	}
	return nil
}

func (w *world) configure(version int, of []platformtest.Customer) error {
	return w.store.PutConfiguration(version, databases(), map[string]int{"ledger": connections, "orders": connections}, of)
}

func (w *world) addDaemon(number int) error {
	ways := make(map[string]*Proxy)
	for _, t := range w.proxies {
		way, err := StartProxy(t.proxy.Address())
		if err != nil {
			return err
		}
		ways[string(t.member.ID)] = way
	}
	view, err := w.store.ViewAs(func(item platformtest.Item) platformtest.Item {
		return item.AtAddress(func(id string) string { return ways[id].Address() })
	})
	if err != nil {
		return err
	}
	proxy, err := StartProxy(view.Address())
	if err != nil {
		return err
	}
	d, err := newDaemon(w.options.Program, w.options.Directory, fmt.Sprintf("edge-%d", number+1), fmt.Sprintf("z%d", number%3+1), proxy, w.cloud.Address(), &w.ports)
	if err != nil {
		return err
	}
	d.view, d.ways = view, ways
	w.daemons = append(w.daemons, d)
	return d.start()
}

// play runs callers and faults.
func (w *world) play() {
	stopCallers, stopFaults, stopTargets := make(chan struct{}), make(chan struct{}), make(chan struct{})
	var callers, faults, targets sync.WaitGroup
	targets.Go(func() { w.register(stopTargets) })
	for i := range w.options.Callers {
		c := w.caller(i)
		callers.Go(func() { c.run(stopCallers) })
	}
	w.awaitService()
	w.log("serving")
	for lane := range w.options.Lanes {
		random := rand.New(rand.NewPCG(w.options.Seed, uint64(lane)))
		faults.Go(func() { w.trouble(random, stopFaults) })
	}
	time.Sleep(w.options.Length / 2)
	w.withdraw()
	time.Sleep(w.options.Length / 2)
	close(stopFaults)
	faults.Wait()
	w.mend()
	mended := time.Now()
	w.awaitService()
	w.log(fmt.Sprintf("serving again %s after the last fault", time.Since(mended).Round(time.Millisecond)))
	time.Sleep(settleTime)
	close(stopCallers)
	callers.Wait()
	close(stopTargets)
	targets.Wait()
}

func (w *world) caller(number int) *caller {
	all := databases()
	c := &caller{record: w.record, random: rand.New(rand.NewPCG(w.options.Seed, uint64(1000+number))), number: number,
		customer: customers[number%len(customers)], database: all[number%len(all)], item: fmt.Sprintf("item-%d", number)}
	for _, d := range w.daemons {
		c.entries = append(c.entries, d.caller)
	}
	return c
}

// awaitService waits until callers have succeeded as often as there are callers.
func (w *world) awaitService() {
	for before := w.record.successes(); w.record.successes() < before+w.options.Callers; {
		time.Sleep(10 * time.Millisecond)
	}
}

// withdraw takes a customer's key away.
func (w *world) withdraw() {
	w.note(w.configure(2, customers[:withdrawnCustomer]))
	w.record.mu.Lock()
	w.record.withdrawn[customers[withdrawnCustomer].Name] = time.Now()
	w.record.mu.Unlock()
	w.log("key withdrawn")
}

// mend ends all that may still be wrong: faults that overlapped may have been mended in
// another order.
func (w *world) mend() {
	w.store.SetAway(false)
	for _, t := range w.proxies {
		t.proxy.Set(Pass)
		t.member.SetDown(false)
		t.member.SetPartitioned(false)
	}
	for _, d := range w.daemons {
		d.store.Set(Pass)
		for _, way := range d.ways {
			way.Set(Pass)
		}
		d.signal(syscall.SIGCONT)
		w.note(d.start())
	}
}

// register keeps the targets' entries in the store.
func (w *world) register(stop <-chan struct{}) {
	type state struct{ primary, up bool }
	told := make(map[int]state)
	for sequence := 1; ; sequence++ {
		for i, t := range w.proxies {
			primary, up := t.member.Role()
			if now := (state{primary, up}); now != told[i] {
				told[i] = now
				w.note(w.store.Register(t.member, t.proxy.Address(), t.born, sequence))
			}
		}
		select {
		case <-stop:
			return
		case <-time.After(registerInterval):
		}
	}
}

func (w *world) close() {
	for _, d := range w.daemons {
		d.close()
	}
	for _, t := range w.proxies {
		t.proxy.Close()
	}
	for _, g := range w.groups {
		g.Close()
	}
	if w.cloud != nil {
		w.cloud.Close()
	}
	if w.store != nil {
		w.store.Close()
	}
	w.ports.close()
}
