package soak

import (
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"samphirehitch.example/samphirehitch/platform"
	"samphirehitch.example/samphirehitch/platform/platformtest"
)

// stopPatience is how long a daemon may take to leave after SIGTERM: its grace and a
// margin.
const stopPatience = 8 * time.Second

// daemon is one entry instance in a process of its own.
type daemon struct {
	program, settings string
	caller            string
	store             *Proxy
	// view is what the store shows this daemon, ways its proxies to the targets.
	view *platformtest.View
	ways map[string]*Proxy

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
	log     *os.File
}

// portsPerDaemon is how many ports a daemon listens on: metrics, peers, callers and
// readiness.
const portsPerDaemon = 4

// newDaemon writes the settings of an instance. Its way to the store leads over a
// proxy of its own.
func newDaemon(program, directory, name, zone string, store *Proxy, cloud string, ports *ports) (*daemon, error) {
	base, err := ports.take(portsPerDaemon)
	if err != nil {
		return nil, err
	}
	address := func(offset int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(base+offset)) }
	d := &daemon{program: program, settings: filepath.Join(directory, name+".toml"), caller: address(2), store: store}
	err = platformtest.WriteSettings(d.settings, platformtest.Instance{Name: name, Zone: zone, Caller: d.caller, Ready: address(3),
		InternalPort: base, Store: store.Address(), Cloud: cloud})
	if err != nil {
		return nil, err
	}
	d.log, err = os.Create(filepath.Join(directory, name+".log"))
	return d, eris.Wrap(err, "create log file")
}

// start starts the process unless it runs.
func (d *daemon) start() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.command != nil {
		return nil
	}
	command := exec.Command(d.program, "serve")
	command.Env = append(os.Environ(), platform.SettingsVariable+"="+d.settings)
	command.Stdout, command.Stderr = d.log, d.log
	if err := command.Start(); err != nil {
		return eris.Wrap(err, "start daemon")
	}
	ended := make(chan struct{})
	d.command, d.ended = command, ended
	go func() {
		_ = command.Wait() // a killed daemon ends with an error
		d.mu.Lock()
		d.command = nil
		d.mu.Unlock()
		close(ended)
	}()
	return nil
}

// signal sends a signal to the process, if it runs.
func (d *daemon) signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.command != nil {
		_ = d.command.Process.Signal(s) // it may just have ended
	}
}

// stop ends the process with a signal, and by force when it does not end in time.
func (d *daemon) stop(s syscall.Signal) {
	d.mu.Lock()
	ended, running := d.ended, d.command != nil
	d.mu.Unlock()
	if !running {
		return
	}
	d.signal(s)
	select {
	case <-ended:
	case <-time.After(stopPatience):
		d.signal(syscall.SIGKILL)
		<-ended
	}
}

func (d *daemon) close() {
	d.signal(syscall.SIGCONT)
	d.stop(syscall.SIGKILL)
	d.store.Close()
	d.view.Close()
	for _, way := range d.ways {
		way.Close()
	}
	_ = d.log.Close() // the process has ended
}
