package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"samphirehitch.example/samphirehitch/platform/platformtest"
)

// Figures of the small deployments.
const (
	machines       = 7
	heartbeat      = 1200 * time.Millisecond
	revokeDelay    = 5000 * time.Millisecond
	terminateGrace = 6 * time.Second
	startTimeout   = 25 * time.Second
)

// deployment is a small deployment: daemons as separate processes, and the platform and the
// databases in this process, all on loopback addresses.
type deployment struct {
	program   string
	directory string
	store     *platformtest.Store
	groups    []*group
	promotion net.Listener
	daemons   []*daemon
	version   int
	tenants   []tenant
	routes    []route
	// syncReplicas is that of the configuration's services.
	syncReplicas int

	started time.Time
	mu      sync.Mutex
	record  *os.File
	stop    chan struct{}
}

type tenant struct {
	name        string
	keys        []string
	rate, burst float64
}

type route struct {
	host, service, kind          string
	timeoutMS, aimMS, maxStaleMS int
}

// daemon is one entry daemon.
type daemon struct {
	name, frontend, ready string
	command               *exec.Cmd
	exited                chan struct{}
}

// newDeployment starts the platform and a daemon on each machine.
func newDeployment(program, recordPath string, groups []*group, routes []route, tenants []tenant) (*deployment, error) {
	d := &deployment{program: program, groups: groups, routes: routes, tenants: tenants, version: 7,
		syncReplicas: groups[0].syncReplicas, started: time.Now(), stop: make(chan struct{})}
	var err error
	if d.record, err = os.Create(recordPath); err != nil {
		return d, err
	}
	if d.directory, err = os.MkdirTemp("", "review"); err != nil {
		return d, err
	}
	if d.store, err = platformtest.StartStore(); err != nil {
		return d, err
	}
	if d.promotion, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return d, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /promote", d.promote)
	go func() { _ = http.Serve(d.promotion, mux) }()
	go d.beat()
	if err := d.putConfiguration(); err != nil {
		return d, err
	}
	zones := []string{"cz-praha-a", "cz-praha-b", "cz-brno-a", "cz-brno-b"}
	ports := portSearch{next: 20000 + os.Getpid()%500*20}
	for i := range machines {
		if err := d.startDaemon(fmt.Sprintf("edge-%s-%d", zones[i%4], i/4+1), zones[i%4], &ports); err != nil {
			return d, err
		}
	}
	return d, d.awaitReady()
}

// portSearch finds free loopback ports.
type portSearch struct{ next int }

// take returns the first of count consecutive free ports.
func (p *portSearch) take(count int) int {
	for {
		base, free := p.next, true
		for port := base; port < base+count && free; port++ {
			listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
			if free = err == nil; free {
				_ = listener.Close()
			}
		}
		p.next += count
		if p.next > 32000 {
			p.next = 20000
		}
		if free {
			return base
		}
	}
}

// startDaemon starts a daemon with the settings of a machine.
func (d *deployment) startDaemon(name, zone string, ports *portSearch) error {
	base := ports.take(4)
	m := &daemon{name: name, frontend: fmt.Sprintf("127.0.0.1:%d", base), ready: fmt.Sprintf("127.0.0.1:%d", base+1), exited: make(chan struct{})}
	path := filepath.Join(d.directory, name+".toml")
	settings := fmt.Sprintf(`nodeName = %q
role = "entry"
nodeClass = "edge"
serves = ["edge"]
ip = "127.0.0.1"
zone = %q
region = "cz-central"
internalPorts = [%d, %d]
heartbeatMs = 1200
[listenAddrs]
frontend = %q
ready = %q
[limits]
cpuShare = 0.4
cpuCores = 1
memoryMb = 284
maxFds = 4300
linkMbps = 1000.0
diskMb = 0
[bounds]
contactMs = 4000
drainMs = 7000
graceS = 6
lossSlackMs = 200
configApplyMs = 3000
downgradeMs = 250
strictRevoke = true
revokeMs = 5000
quotaWindowS = 5
quotaOvershoot = 0.1
quotaSlack = 20
recoveryS = 12
fencingEnforced = false
thawMs = 300
[platform]
address = %q
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
[cloudApi]
address = %q
duties = ["promotion"]
dutyPerS = 50.0
`, name, zone, base+2, base+3, m.frontend, m.ready, d.store.Address(), d.promotion.Addr().String())
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return err
	}
	output, err := os.Create(filepath.Join(d.directory, name+".log"))
	if err != nil {
		return err
	}
	m.command = exec.Command(d.program, "serve")
	m.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "SAMPHIREHITCH_NODE_FILE=" + path}
	m.command.Stdout, m.command.Stderr = output, output
	m.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := m.command.Start(); err != nil {
		return err
	}
	go func() {
		_ = m.command.Wait()
		_ = output.Close()
		close(m.exited)
	}()
	d.daemons = append(d.daemons, m)
	return nil
}

// awaitReady waits until every daemon is ready and every group is registered.
func (d *deployment) awaitReady() error {
	deadline := time.Now().Add(startTimeout)
	for _, m := range d.daemons {
		for {
			response, err := http.Get("http://" + m.ready + "/api/ready")
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", m.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	for _, m := range d.daemons {
		for _, r := range d.routes {
			for !d.serves(m, r) {
				if time.Now().After(deadline) {
					return fmt.Errorf("%s does not serve %s", m.name, r.host)
				}
				time.Sleep(100 * time.Millisecond)
			}
		}
	}
	time.Sleep(2 * time.Second)
	return nil
}

// serves reports whether a daemon runs a read on a route.
func (d *deployment) serves(m *daemon, r route) bool {
	caller, response, err := platformtest.DialCaller(m.frontend, r.host, d.tenants[0].keys[0], time.Second)
	if err != nil || caller == nil {
		_ = response
		return false
	}
	defer caller.Close()
	response, err = caller.Do(newID(), "READ warm", time.Second)
	return err == nil && response.Code == ""
}

// owner returns a daemon that ran its callers' last read itself, by its log, or the first one.
// Only the choice of the daemon depends on the log, not what is judged.
func (d *deployment) owner() *daemon {
	for _, m := range d.daemons {
		d.serves(m, d.routes[0])
	}
	time.Sleep(500 * time.Millisecond) // logs are written with a delay
	for _, m := range d.daemons {
		content, err := os.ReadFile(filepath.Join(d.directory, m.name+".log"))
		if err != nil {
			continue
		}
		last := ""
		for line := range strings.Lines(string(content)) {
			if strings.Contains(line, `"kind":"read","code":"ok"`) {
				last = line
			}
		}
		if strings.Contains(last, `"via":""`) {
			return m
		}
	}
	return d.daemons[0]
}

// putConfiguration writes the configuration as the operator.
func (d *deployment) putConfiguration() error {
	var routes, services, tenants []map[string]any
	for _, r := range d.routes {
		routes = append(routes, map[string]any{"name": "r-" + r.host, "host": r.host, "prefix": "/", "type": r.kind, "timeoutMs": r.timeoutMS,
			"sloMs": r.aimMS, "priority": 1, "service": r.service, "attempts": 2, "maxStalenessMs": r.maxStaleMS, "anonymous": false})
	}
	for _, g := range d.groups {
		services = append(services, map[string]any{"name": g.service, "maxConns": g.connections, "syncReplicas": d.syncReplicas})
	}
	for _, t := range d.tenants {
		tenants = append(tenants, map[string]any{"name": t.name, "apiKeys": t.keys, "priority": 1, "ratePerS": t.rate, "burst": t.burst})
	}
	return d.store.Put("op/config", map[string]any{"version": d.version, "routes": routes, "services": services, "tenants": tenants,
		"limits": map[string]any{"txIdleMs": 3000}})
}

// promote serves the duty of promotion.
func (d *deployment) promote(w http.ResponseWriter, r *http.Request) {
	var request struct{ Service, ID string }
	if json.NewDecoder(r.Body).Decode(&request) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	holder, token := r.Header.Get("X-Samphirehitch-Holder"), r.Header.Get("X-Samphirehitch-Fencing-Token")
	status := http.StatusConflict
	for _, g := range d.groups {
		if g.service == request.Service && g.promote(request.ID) {
			status = http.StatusOK
		}
	}
	d.note("promote %s of %s by %s, token %s: %d", request.ID, request.Service, holder, token, status)
	w.WriteHeader(status)
}

// beat registers the databases in the store, each at every heartbeat and when its role
// changes. The entry of one that is silent for three heartbeats is removed.
func (d *deployment) beat() {
	type state struct {
		role  string
		at    time.Time
		there bool
	}
	last := make(map[*member]state)
	for {
		select {
		case <-d.stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		for _, g := range d.groups {
			for _, m := range g.members {
				g.mu.Lock()
				role, down := "replica", m.isDown || time.Now().Before(m.darkUntil)
				if m.leads {
					role = "primary"
				}
				m.sequence++
				sequence := m.sequence
				g.mu.Unlock()
				s := last[m]
				switch {
				case down && s.there && time.Since(s.at) > 3*heartbeat:
					d.store.Delete("servers/" + m.id)
					last[m] = state{at: s.at}
				case !down && (!s.there || s.role != role || time.Since(s.at) >= heartbeat):
					_ = d.store.Put("servers/"+m.id, map[string]any{"service": g.service, "address": m.address, "zone": "cz-praha-a", "version": "v1",
						"capacity": g.slots, "state": "ready", "warmupLeftMs": 0, "dbRole": role, "sequence": sequence, "born": m.born})
					last[m] = state{role: role, at: time.Now(), there: true}
				}
			}
		}
	}
}

// note writes a line with the time since the start into the record.
func (d *deployment) note(format string, arguments ...any) {
	d.noteAt(time.Now(), format, arguments...)
}

func (d *deployment) noteAt(at time.Time, format string, arguments ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, _ = fmt.Fprintf(d.record, "%9.3f s  %s\n", at.Sub(d.started).Seconds(), fmt.Sprintf(format, arguments...))
}

// close ends all processes and removes the temporary folder.
func (d *deployment) close() {
	close(d.stop)
	for _, m := range d.daemons {
		_ = m.command.Process.Signal(syscall.SIGCONT)
		_ = m.command.Process.Kill()
		<-m.exited
	}
	if d.store != nil {
		d.store.Close()
	}
	if d.promotion != nil {
		_ = d.promotion.Close()
	}
	if os.Getenv("KEEP_LOGS") == "" && d.directory != "" {
		_ = os.RemoveAll(d.directory)
	}
	_ = d.record.Close()
}

var (
	idMutex sync.Mutex
	idCount = uint64(time.Now().UnixNano())
)

// newID returns a new request ID.
func newID() string {
	idMutex.Lock()
	defer idMutex.Unlock()
	idCount++
	return strconv.FormatUint(idCount, 16)
}
