package main

import (
	"fmt"
	"sync"
	"time"

	"samphirehitch.example/samphirehitch/platform/platformtest"
)

// revokedKey has clients with two keys of one tenant run transactions of twelve statements
// with short pauses. The operator takes one of the keys away after the second statement. The
// rule CONFIG is broken if a statement of that key runs that was sent later than revokeMs
// after the acknowledgement.
func revokedKey(program, record string, trouble bool) (bool, error) {
	const (
		statements = 12
		pause      = 800 * time.Millisecond
		sessions   = 1 // on each daemon, with each key
	)
	g, err := startGroup("svc1", 3, 3, 36, 0, 8*time.Millisecond, 600*time.Millisecond, logNormal(8*time.Millisecond, 60*time.Millisecond))
	if err != nil {
		return false, err
	}
	kept, taken := "u6wsjnbanfqasnmgkcuy", "j8pjbvk9m68k7b2ex5wa"
	d, err := newDeployment(program, record, []*group{g},
		[]route{{host: "lepu270", service: "svc1", kind: "primary", timeoutMS: 1000, aimMS: 200}},
		[]tenant{{name: "nypu920", keys: []string{kept, taken}, rate: 128, burst: 128}})
	defer d.close()
	if err != nil {
		return false, err
	}
	type sent struct {
		key  string
		at   time.Time
		text string
	}
	var mu sync.Mutex
	all, acknowledged := make(map[string]sent), time.Time{}
	var clients sync.WaitGroup
	failures := 0
	for _, m := range d.daemons {
		for i := range 2 * sessions {
			key := kept
			if i%2 == 1 {
				key = taken
			}
			clients.Go(func() {
				caller, response, err := platformtest.DialCaller(m.frontend, "lepu270", key, 2*time.Second)
				if err != nil || caller == nil {
					d.note("no session on %s: %v %s", m.name, err, response.Code)
					mu.Lock()
					failures++
					mu.Unlock()
					return
				}
				defer caller.Close()
				for n := range statements {
					id, text := newID(), fmt.Sprintf("WRITE %s-%d v%d", m.name, i, n)
					switch n {
					case 0:
						text = "BEGIN"
					case statements - 1:
						text = "COMMIT"
					}
					at := time.Now()
					mu.Lock()
					all[id] = sent{key: key, at: at, text: text}
					mu.Unlock()
					response, err := caller.Do(id, text, 2*time.Second)
					d.noteAt(at, "%s sent to %s with key %.4s: %s -> %s%s %v", id, m.name, key, text, response.Code, response.State, err)
					if err != nil || response.Code != "" {
						return
					}
					if n > 0 {
						time.Sleep(pause)
					}
				}
			})
		}
	}
	time.Sleep(pause + pause/2)
	if trouble {
		d.version, d.tenants[0].keys = 9, []string{kept}
		if err := d.putConfiguration(); err != nil {
			return false, err
		}
		acknowledged = time.Now()
		d.note("version 9 without the key %.4s is acknowledged", taken)
	}
	clients.Wait()
	if failures > 0 {
		return false, errNotRun
	}
	_, response, err := platformtest.DialCaller(d.daemons[0].frontend, "lepu270", taken, 2*time.Second)
	d.note("a new session with the key %.4s: %s %v", taken, response.Code, err)
	late, ran := 0, 0
	for _, r := range g.executed() {
		s, known := all[r.id]
		if !known {
			continue
		}
		ran++
		if trouble && s.key == taken && s.at.Sub(acknowledged) > revokeDelay {
			late++
			d.noteAt(r.at, "%s runs as %s: %s, sent with the key %.4s %.1f s after it was taken away", r.id, r.customer, r.text, s.key, s.at.Sub(acknowledged).Seconds())
		}
	}
	d.note("%d statements ran, %d of them were sent over %s after their key had been taken away", ran, late, revokeDelay)
	if ran == 0 {
		return false, errNotRun
	}
	return late > 0, nil
}
