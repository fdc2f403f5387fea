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

// stopTimeout is how long a daemon may take to exit after SIGTERM before it is killed:
// its drain timeout and a margin.
const stopTimeout = 8 * time.Second

// daemon is an entry daemon that runs as a separate process. It can be stopped and
// started again, with the same settings and log file. It is safe for concurrent use by
// fault injectors.
type daemon struct {
	program, settingsPath string
	// callerAddress is where the daemon accepts callers.
	callerAddress string
	// storeProxy carries the daemon's connections to the store.
	storeProxy *FaultProxy

	// mu guards command and exited.
	mu sync.Mutex
	// command is the running process, nil if none runs.
	command *exec.Cmd
	// exited is closed when the process that was started last has exited.
	exited  chan struct{}
	logFile *os.File
}

// portsPerDaemon is the number of ports that a daemon listens on: metrics, peers, callers
// and readiness, in this order.
const portsPerDaemon = 4

// newDaemon allocates ports and writes the settings of a daemon without starting it. The
// settings contain the address of storeProxy as the store's.
func newDaemon(program, directory, name, failureDomain string, storeProxy *FaultProxy, promotionAddress string, ports *portAllocator) (*daemon, error) {
	base, err := ports.allocate(portsPerDaemon)
	if err != nil {
		return nil, err
	}
	address := func(offset int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(base+offset)) }
	d := &daemon{program: program, settingsPath: filepath.Join(directory, name+".toml"), callerAddress: address(2), storeProxy: storeProxy}
	err = platformtest.WriteSettings(d.settingsPath, platformtest.Instance{Name: name, FailureDomain: failureDomain, CallerAddress: d.callerAddress, ReadinessAddress: address(3),
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
	d.command, d.exited = command, exited
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

// stop sends a signal and waits until the process has exited. After stopTimeout it kills
// the process.
func (d *daemon) stop(sig syscall.Signal) {
	d.mu.Lock()
	exited, running := d.exited, d.command != nil
	d.mu.Unlock()
	if !running {
		return
	}
	d.signal(sig)
	select {
	case <-exited:
	case <-time.After(stopTimeout):
		d.signal(syscall.SIGKILL)
		<-exited
	}
}

// close kills the process, also if it is suspended, and closes the proxy and the log.
func (d *daemon) close() {
	d.signal(syscall.SIGCONT)
	d.stop(syscall.SIGKILL)
	d.storeProxy.Close()
	_ = d.logFile.Close() // the process has exited and writes no more
}
