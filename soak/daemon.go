package soak

import (
	"fmt"
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
	"samphirehitch.example/samphirehitch/soak/loopback"
)

// stopTimeout is how long a daemon may take to exit after SIGTERM before it is killed:
// its drain timeout and a margin.
const stopTimeout = 8 * time.Second

// daemon is an entry daemon that runs as a separate process. It can be stopped and
// started again, with the same settings and log file. It is safe for concurrent use by
// fault injectors.
type daemon struct {
	// number numbers the daemons of a run from 0.
	number                      int
	name, program, settingsPath string
	// The daemon accepts callers at callerAddress and readiness probes at
	// readinessAddress.
	callerAddress, readinessAddress string
	// storeProxy carries the daemon's connections to the store.
	storeProxy *FaultProxy

	// mu guards command and exited.
	mu sync.Mutex
	// command is the running process, nil if none runs.
	command *exec.Cmd
	// exited is closed when the process that was started last has exited.
	exited chan struct{}
	// suspended is set while the process is.
	suspended bool
	logFile   *os.File
}

// portsPerDaemon is the number of ports that a daemon listens on: metrics, peers, callers
// and readiness, in this order.
const portsPerDaemon = 4

// failureDomains is the number of failure domains over which the daemons are spread.
const failureDomains = 3

// newDaemon allocates ports and writes the settings of a daemon without starting it. The
// settings contain the address of storeProxy as the store's.
func newDaemon(program, directory string, number int, storeProxy *FaultProxy, promotionAddress string, ports *loopback.Ports) (*daemon, error) {
	base, err := ports.Allocate(portsPerDaemon)
	if err != nil {
		return nil, err
	}
	address := func(offset int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(base+offset)) }
	name, failureDomain := fmt.Sprintf("edge-%d", number+1), fmt.Sprintf("z%d", number%failureDomains+1)
	d := &daemon{number: number, name: name, program: program, settingsPath: filepath.Join(directory, name+".toml"), callerAddress: address(2), readinessAddress: address(3), storeProxy: storeProxy}
	err = platformtest.WriteSettings(d.settingsPath, platformtest.Instance{Name: name, FailureDomain: failureDomain, CallerAddress: d.callerAddress, ReadinessAddress: d.readinessAddress,
		InternalPort: base, StoreAddress: storeProxy.Address(), PromotionAddress: promotionAddress})
	if err != nil {
		return nil, err
	}
	d.logFile, err = os.Create(filepath.Join(directory, name+".log"))
	return d, eris.Wrap(err, "create log file")
}

// start starts the process unless one is running.
func (d *daemon) start() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.command != nil {
		return nil
	}
	command := exec.Command(d.program, "serve")
	command.Env = append(os.Environ(), platform.SettingsVariable+"="+d.settingsPath)
	command.Stdout, command.Stderr = d.logFile, d.logFile
	if err := command.Start(); err != nil {
		return eris.Wrap(err, "start daemon")
	}
	exited := make(chan struct{})
	d.command, d.exited, d.suspended = command, exited, false
	go func() {
		_ = command.Wait() // returns an error for a killed process
		d.mu.Lock()
		d.command = nil
		d.mu.Unlock()
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process if one is running.
func (d *daemon) signal(sig syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.command != nil {
		_ = d.command.Process.Signal(sig) // fails if the process has just exited
	}
}

// pid returns the ID of the process, zero if none runs.
func (d *daemon) pid() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.command == nil {
		return 0
	}
	return d.command.Process.Pid
}

// suspend suspends the process if one is running.
func (d *daemon) suspend() {
	d.signal(syscall.SIGSTOP)
	d.setSuspended(true)
}

// resume resumes the process and reports whether it was suspended.
func (d *daemon) resume() bool {
	d.signal(syscall.SIGCONT)
	return d.setSuspended(false)
}

// setSuspended records whether the process is suspended, and returns whether it was.
func (d *daemon) setSuspended(suspended bool) (before bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	before, d.suspended = d.suspended, suspended && d.command != nil
	return before
}

// stop sends a signal and waits until the process has exited. After the timeout it kills
// the process. It returns when the signal was sent, zero if no process was running.
func (d *daemon) stop(sig syscall.Signal, timeout time.Duration) time.Time {
	d.mu.Lock()
	exited, running := d.exited, d.command != nil
	d.mu.Unlock()
	if !running {
		return time.Time{}
	}
	sentAt := time.Now()
	d.signal(sig)
	select {
	case <-exited:
	case <-time.After(timeout):
		d.signal(syscall.SIGKILL)
		<-exited
	}
	return sentAt
}

// close kills the process, also if it is suspended, and closes the proxy and the log.
func (d *daemon) close() {
	d.signal(syscall.SIGCONT)
	d.stop(syscall.SIGKILL, stopTimeout)
	d.storeProxy.Close()
	_ = d.logFile.Close() // the process has exited and writes no more
}
