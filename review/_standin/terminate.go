package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"

	"samphirehitch.example/samphirehitch/platform/platformtest"
)

// terminate sends SIGTERM to one daemon. Two seconds later its clients, which have open
// sessions, begin read-only transactions of twelve messages with short pauses. The rule LOST is
// broken if a database has run a statement and its connection ends without an answer.
// Statements sent within the first three seconds, and those of clients or routes whose time
// is over, do not count.
func terminate(program, record string, trouble bool) (bool, error) {
	const (
		statements   = 12
		sessions     = 42
		beginAfter   = 1850 * time.Millisecond // after the SIGTERM
		beginSpread  = 300 * time.Millisecond
		period       = 350 * time.Millisecond
		excusedUntil = 3 * time.Second
		routeTimeout = 2 * time.Second
		deadline     = 4 * time.Second // of an operation, without its pauses
	)
	g, err := startGroup("svc1", 3, 3, 36, 0, 8*time.Millisecond, 600*time.Millisecond, logNormal(40*time.Millisecond, 300*time.Millisecond))
	if err != nil {
		return false, err
	}
	key := "u6wsjnbanfqasnmgkcuy"
	d, err := newDeployment(program, record, []*group{g},
		[]route{{host: "xapu221ny95", service: "svc1", kind: "bounded", timeoutMS: 2000, aimMS: 600, maxStaleMS: 1500}},
		[]tenant{{name: "nypu920", keys: []string{key}, rate: 128, burst: 128}})
	defer d.close()
	if err != nil {
		return false, err
	}
	m := d.owner()
	type cut struct {
		id, text       string
		sentAt, cutAt  time.Time
		statementsTime time.Duration
	}
	var (
		mu      sync.Mutex
		cuts    []cut
		refused int
		clients sync.WaitGroup
		signal  = time.Now().Add(time.Second)
	)
	for i := range sessions {
		clients.Go(func() {
			caller, response, err := platformtest.DialCaller(m.frontend, "xapu221ny95", key, 2*time.Second)
			if err != nil || caller == nil {
				d.note("no session: %v %s", err, response.Code)
				mu.Lock()
				refused++
				mu.Unlock()
				return
			}
			defer caller.Close()
			next, spent := signal.Add(beginAfter+beginSpread*time.Duration(i)/sessions), time.Duration(0)
			for n := range statements {
				id, text := newID(), fmt.Sprintf("READ item%d-%d", i, n)
				switch n {
				case 0:
					text = "BEGIN READ"
				case statements - 1:
					text = "COMMIT"
				}
				time.Sleep(time.Until(next))
				if n > 0 {
					next = next.Add(period)
				}
				at := time.Now()
				response, err := caller.Do(id, text, routeTimeout)
				spent += time.Since(at)
				if err != nil {
					d.noteAt(at, "%s sent: %s; after %s the connection ends without an answer: %v", id, text, time.Since(at).Round(time.Millisecond), err)
					mu.Lock()
					cuts = append(cuts, cut{id: id, text: text, sentAt: at, cutAt: time.Now(), statementsTime: spent})
					mu.Unlock()
					return
				}
				d.noteAt(at, "%s sent: %s; answered with %s %s %s", id, text, response.Code, response.Detail, response.State)
				if response.Code != "" {
					return
				}
			}
		})
	}
	time.Sleep(time.Until(signal))
	terminated := time.Now()
	if trouble {
		d.note("SIGTERM to %s", m.name)
		_ = m.command.Process.Signal(syscall.SIGTERM)
		go func() {
			select {
			case <-m.exited:
				d.note("%s has exited", m.name)
			case <-time.After(terminateGrace):
				d.note("SIGKILL to %s", m.name)
				_ = m.command.Process.Kill()
			}
		}()
	}
	clients.Wait()
	if refused > 0 {
		return false, errNotRun
	}
	ran := make(map[string]run)
	for _, r := range g.executed() {
		ran[r.id] = r
	}
	broken := 0
	for _, c := range cuts {
		r, passedOn := ran[c.id]
		sentAfter := c.sentAt.Sub(terminated)
		switch {
		case !passedOn:
			d.noteAt(c.cutAt, "%s does not count: it was not passed on", c.id)
		case sentAfter <= excusedUntil || c.cutAt.Sub(c.sentAt) >= routeTimeout || c.statementsTime >= deadline || c.cutAt.Sub(terminated) > terminateGrace+time.Second:
			d.noteAt(c.cutAt, "%s does not count: sent %s after SIGTERM", c.id, sentAfter)
		default:
			broken++
			d.noteAt(c.cutAt, "%s is lost: sent %s after SIGTERM, %s ran it, no answer", c.id, sentAfter.Round(time.Millisecond), r.member)
		}
	}
	d.note("%d connections ended without an answer, %d of them after a database had run the statement", len(cuts), broken)
	return broken > 0, nil
}
