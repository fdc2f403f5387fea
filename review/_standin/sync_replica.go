package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"samphirehitch.example/samphirehitch/platform/platformtest"
)

// syncReplica has clients write to and read from a service whose commits are acknowledged
// once one replica has received them. One replica receives nothing for six seconds and the
// primary crashes meanwhile, and the other replica is dark for some seconds. The rule LOST is
// broken if an acknowledged commit is missing in the log of the database that is promoted.
func syncReplica(program, record string, trouble bool) (bool, error) {
	const (
		writers, readers = 2, 6 // on each daemon
		deafFor          = 6 * time.Second
		darkFor          = 4800 * time.Millisecond
		crashAfter       = 3 * time.Second
		crashFor         = 7 * time.Second
		length           = 18 * time.Second
	)
	g, err := startGroup("svc1", 3, 3, 36, 1, 8*time.Millisecond, 600*time.Millisecond, logNormal(24*time.Millisecond, 60*time.Millisecond))
	if err != nil {
		return false, err
	}
	type promotion struct {
		member string
		at     time.Time
		log    map[string]bool
	}
	var (
		mu           sync.Mutex
		promotions   []promotion
		acknowledged = make(map[string]time.Time)
	)
	g.promoted = func(m *member, log []entry) {
		p := promotion{member: m.id, at: time.Now(), log: make(map[string]bool)}
		for _, e := range log {
			p.log[e.id] = true
		}
		mu.Lock()
		promotions = append(promotions, p)
		mu.Unlock()
	}
	key := "u6wsjnbanfqasnmgkcuy"
	d, err := newDeployment(program, record, []*group{g}, []route{
		{host: "lepu270", service: "svc1", kind: "primary", timeoutMS: 1000, aimMS: 200},
		{host: "xapu221ny95", service: "svc1", kind: "bounded", timeoutMS: 2000, aimMS: 600, maxStaleMS: 1500},
	}, []tenant{{name: "nypu920", keys: []string{key}, rate: 300, burst: 300}})
	defer d.close()
	if err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for _, m := range d.daemons {
		for i := range writers + readers {
			clients.Go(func() {
				host, pause := "lepu270", 150*time.Millisecond
				if i >= writers {
					host, pause = "xapu221ny95", 250*time.Millisecond
				}
				var caller *platformtest.Caller
				for n := 0; ; n++ {
					select {
					case <-stop:
						if caller != nil {
							caller.Close()
						}
						return
					case <-time.After(time.Duration(rand.Int64N(int64(2 * pause)))):
					}
					if caller == nil {
						if caller, _, err = platformtest.DialCaller(m.frontend, host, key, 2*time.Second); caller == nil {
							continue
						}
					}
					id, text := newID(), fmt.Sprintf("READ %s-%d", m.name, i%writers)
					if i < writers {
						text = fmt.Sprintf("WRITE %s-%d v%d", m.name, i, n)
					}
					at := time.Now()
					response, err := caller.Do(id, text, 3*time.Second)
					if err != nil {
						caller.Close()
						caller = nil
					}
					if i < writers {
						d.noteAt(at, "%s sent to %s: %s; after %s: %s%s %v", id, m.name, text, time.Since(at).Round(time.Millisecond), response.Code, response.Signature, err)
						if err == nil && response.Code == "" {
							mu.Lock()
							acknowledged[id] = time.Now()
							mu.Unlock()
						}
					}
				}
			})
		}
	}
	time.Sleep(3 * time.Second)
	if trouble {
		go func() {
			g.mu.Lock()
			g.members[1].deafUntil = time.Now().Add(deafFor)
			g.mu.Unlock()
			d.note("%s receives nothing for %s", g.members[1].id, deafFor)
			time.Sleep(crashAfter)
			g.mu.Lock()
			g.members[2].darkUntil = time.Now().Add(darkFor)
			g.mu.Unlock()
			_ = g.members[0].setDown(true)
			d.note("%s crashes for %s, %s is dark for %s", g.members[0].id, crashFor, g.members[2].id, darkFor)
			time.Sleep(crashFor)
			_ = g.members[0].setDown(false)
			d.note("%s is back", g.members[0].id)
		}()
	}
	time.Sleep(length)
	close(stop)
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	broken := 0
	for _, p := range promotions {
		missing := 0
		for id, at := range acknowledged {
			if at.Before(p.at) && !p.log[id] {
				missing++
				d.noteAt(at, "%s was acknowledged here and is not in the log of %s, which was promoted", id, p.member)
			}
		}
		d.noteAt(p.at, "%s leads; its log lacks %d acknowledged commits", p.member, missing)
		broken += missing
	}
	d.note("%d commits were acknowledged, %d promotions", len(acknowledged), len(promotions))
	if len(acknowledged) == 0 || trouble && len(promotions) == 0 {
		return false, errNotRun
	}
	return broken > 0, nil
}
