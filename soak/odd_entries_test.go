package soak

import (
	"bytes"
	"encoding/base64"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"samphirehitch.example/samphirehitch/platform/platformtest"
)

// oddEntries returns the wire form of entries that another writer may leave among those of
// the databases, by ID. Some name addresses of the daemons, of the store and of a host that
// is silent.
func (h *harness) oddEntries(silent string) map[string]string {
	entry := func(address, capacity, state string) string {
		return base64.StdEncoding.EncodeToString(fmt.Appendf(nil, `{"service":"ledger","address":%q,"zone":"z1","version":"1","capacity":%s,"state":%q,"warmupLeftMs":0,"sequence":1,"dbRole":"primary","born":1}`, address, capacity, state))
	}
	deep := strings.Repeat("[", 500_000)
	odd := map[string]string{
		"odd-empty": "", "odd-text": "{}", "odd-padding": "eA", "odd-bytes": base64.StdEncoding.EncodeToString([]byte("\xff\xfe")),
		"odd-deep":   base64.StdEncoding.EncodeToString([]byte(deep + strings.Repeat("]", len(deep)))),
		"odd-open":   base64.StdEncoding.EncodeToString([]byte(deep)),
		"odd-number": entry("127.0.0.1:80", "1e400", "ready"), "odd-capacity": entry("127.0.0.1:1", "9223372036854775807", "ready"),
		"odd-port": entry("127.0.0.1:99999999", "2", "ready"), "odd-port-0": entry("127.0.0.1:0", "2", "ready"),
		"odd-state": entry("127.0.0.1:80", "2", "asleep"), "odd id\r\nQUERY - READ x": entry("127.0.0.1:80", "2", "ready"),
		"odd-store":  entry(h.store.Address(), "2", "ready"),
		"odd-caller": entry(h.daemons[0].callerAddress, "2", "ready"),
		"odd-other":  entry(h.targets[0].proxy.Address(), "2", "ready"),
		"odd-silent": entry(silent, "2", "ready"),
		"":           entry("127.0.0.1:80", "2", "ready"),
	}
	for i := range 20 {
		odd[fmt.Sprintf("odd-large-%d", i)] = entry(strings.Repeat("a", 1<<20-300)+":80", "2", "ready")
	}
	return odd
}

// checkServing waits until an added route is served by every daemon, and checks that none
// has ended.
func (h *harness) checkServing(t *testing.T, version int) {
	t.Helper()
	added := platformtest.Route{Host: fmt.Sprintf("added-%d", version), Service: "ledger", Type: string(levelPrimary)}
	if err := h.store.PutConfiguration(version, append(allDatabases(), added),
		h.services(), customers); err != nil {
		t.Fatal(err)
	}
	for _, err := range h.awaitRoute(added) {
		t.Errorf("version %d: %v", version, err)
	}
	for i, d := range h.daemons {
		d.mu.Lock()
		if d.command == nil {
			t.Errorf("daemon %d has ended", i+1)
		}
		d.mu.Unlock()
	}
}

// peakMemory returns the highest resident memory of the running process, as the kernel
// reports it, empty if none runs.
func (d *daemon) peakMemory() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.command == nil {
		return ""
	}
	content, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.command.Process.Pid)) // missing outside Linux
	_, after, _ := strings.Cut(string(content), "VmHWM:")
	line, _, _ := strings.Cut(after, "\n")
	return strings.TrimSpace(line)
}

// Other operators' machines ended again and again, or stopped following the list, after
// another writer had left one odd entry among those of the databases.
func TestOddEntriesDoNotEndDaemons(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0") // accepts nothing, so that sessions get no response
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	h, stopCallers := startServing(t, Options{Daemons: 2, Callers: 6}, (*harness).newCaller)
	for id, text := range h.oddEntries(silent.Addr().String()) {
		h.store.PutText("servers/"+id, text) // arrives by watch
	}
	h.checkServing(t, 2)
	restarted := h.daemons[1]
	restarted.stop(syscall.SIGTERM, stopTimeout)
	if err := restarted.start(); err != nil { // reads the entries in a listing
		t.Fatal(err)
	}
	h.checkServing(t, 3)
	h.targets[1].member.SetDown(true)
	time.Sleep(time.Second)
	h.targets[1].member.SetDown(false)
	h.checkServing(t, 4)
	for i, d := range h.daemons {
		t.Logf("daemon %d: peak memory %s, %d successes in all", i+1, d.peakMemory(), h.history.successes())
	}
	stopCallers()
	for _, violation := range h.violations() {
		t.Error(violation)
	}
	for i := range h.daemons {
		content, err := os.ReadFile(filepath.Join(h.options.Directory, fmt.Sprintf("edge-%d.log", i+1)))
		if err != nil {
			t.Fatal(err)
		}
		if bytes.Contains(content, []byte("panic")) || !bytes.Contains(content, []byte(`"event":2105`)) {
			t.Errorf("the log of daemon %d holds a panic, or no line on the odd entries", i+1)
		}
		t.Logf("daemon %d: %d lines on unreadable entries", i+1, bytes.Count(content, []byte(`"event":2105`)))
	}
}
