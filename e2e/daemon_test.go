package e2e

import (
	"net/http"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

const (
	readyTimeout      = 30 * time.Second
	readyPollInterval = 20 * time.Millisecond
)

// daemonProcess is a daemon that can be stopped and started again.
type daemonProcess struct {
	arguments                   []string
	callerAddress, adminAddress string
	command                     *exec.Cmd
	// serving is set while the daemon is ready and was not told to stop.
	serving atomic.Bool
}

// startDaemon starts a daemon, for the first time or again.
func (d *deployment) startDaemon(t *testing.T, daemon *daemonProcess) {
	t.Helper()
	daemon.command = exec.Command(filepath.Join(d.programs, "samphirehitchd"), daemon.arguments...)
	d.startProcess(t, daemon.command, "daemon")
}

// awaitReady waits until the daemon is ready for callers.
func (p *daemonProcess) awaitReady(t *testing.T) {
	t.Helper()
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(readyPollInterval) {
		response, err := http.Get("http://" + p.adminAddress + "/readyz")
		if err != nil {
			continue
		}
		_ = response.Body.Close() // only the status counts
		if response.StatusCode == http.StatusOK {
			p.serving.Store(true)
			return
		}
	}
	t.Fatalf("the daemon at %s is not ready after %v", p.callerAddress, readyTimeout)
}

// terminate sends SIGTERM, after which the daemon gets no new connections.
func (p *daemonProcess) terminate(t *testing.T) {
	t.Helper()
	if err := p.command.Process.Signal(syscall.SIGTERM); err != nil {
		t.Error(err)
	}
	p.serving.Store(false)
}

// awaitExit waits for the end of the process, which has to be that of a complete drain.
func (p *daemonProcess) awaitExit(t *testing.T) {
	t.Helper()
	if err := p.command.Wait(); err != nil {
		t.Errorf("the daemon at %s ended with %v", p.callerAddress, err)
	}
}
