package execute

import (
	"bytes"
	"context"
	"net"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"samphirehitch.example/samphirehitch/connection/caller"
	"samphirehitch.example/samphirehitch/process/clock"
	"samphirehitch.example/samphirehitch/process/group"
	"samphirehitch.example/samphirehitch/process/platform"
	"samphirehitch.example/samphirehitch/process/topology"
	"samphirehitch.example/samphirehitch/request/classify"
)

// fault is how a fake target spoils the answer to one request.
type fault struct {
	// cut is how many bytes of the answer are sent before the connection is
	// closed; negative sends all.
	cut int
	// twice sends the answer a second time.
	twice bool
	// late keeps the answer until the connection is given up.
	late bool
}

var noFault = fault{cut: -1}

// fakeTargets are scripted targets that share a set of rows.
type fakeTargets struct {
	mu struct {
		sync.Mutex
		// faults are taken by the next requests, first first.
		faults []fault
		// received holds everything that callers of the targets have sent.
		received []byte
		// committed counts how often each value was inserted.
		committed map[string]int
		outcomes  map[uint64]platform.TransactionOutcome
		nextID    uint64
		stalled   map[topology.TargetID]bool
		// unconfirmed is how many of the next commits find no evidence.
		unconfirmed int
		// confirming, when set, is called with each confirmation of a commit.
		confirming func()
		// unresolved is set while no outcome can be learned.
		unresolved bool
	}
	targets []platform.Target
	now     clock.Clock
}

// newFakeRig is newRig on scripted targets; f-1 is the primary.
func newFakeRig(t testing.TB, limit int) (*rig, *fakeTargets) {
	f := &fakeTargets{now: clock.System()}
	f.mu.committed = make(map[string]int)
	f.mu.outcomes = make(map[uint64]platform.TransactionOutcome)
	f.mu.stalled = make(map[topology.TargetID]bool)
	for _, id := range []topology.TargetID{"f-1", "f-2", "f-3"} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = listener.Close() })
		f.targets = append(f.targets, platform.Target{ID: id, Address: listener.Addr().String()})
		go f.accept(id, listener)
	}
	r := &rig{t: t, watcher: f, limit: limit}
	r.start(f.now, f.targets, func(c *Config, _ *caller.Config) { c.RetryPause = time.Millisecond })
	return r, f
}

func (f *fakeTargets) accept(id topology.TargetID, listener net.Listener) {
	for {
		socket, err := listener.Accept()
		if err != nil {
			return
		}
		c := &fakeConn{targets: f, id: id, socket: socket, status: 'I', settings: make(map[string]string)}
		go c.serve()
	}
}

func (f *fakeTargets) spoil(faults ...fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.mu.faults = append(f.mu.faults, faults...)
}

func (f *fakeTargets) takeFault(id topology.TargetID) fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.mu.faults) == 0 {
		return noFault
	}
	taken := f.mu.faults[0]
	f.mu.faults = f.mu.faults[1:]
	if taken.late {
		f.mu.stalled[id] = true
	}
	return taken
}

// heal drops the faults that were not taken.
func (f *fakeTargets) heal() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.mu.faults = nil
	clear(f.mu.stalled)
}

func (f *fakeTargets) count(value string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.mu.committed[value]
}

// View implements group.Watcher. A stalled target counts as unreachable.
func (f *fakeTargets) View() *group.View {
	f.mu.Lock()
	defer f.mu.Unlock()
	view := &group.View{Service: testService, Primary: "f-1", Term: 1, Frontiers: []group.Frontier{{Time: f.now()}}}
	for _, target := range f.targets {
		status := topology.Status{Target: target.ID, Role: topology.RoleReplica, Term: 1}
		if target.ID == "f-1" {
			status.Role = topology.RolePrimary
		}
		answered := f.now()
		if f.mu.stalled[target.ID] {
			answered -= time.Hour
		}
		view.Targets = append(view.Targets, group.TargetView{
			Target: target, Status: status, Known: true, Reachable: !f.mu.stalled[target.ID], Answered: answered,
		})
	}
	return view
}

// Refresh implements group.Watcher.
func (f *fakeTargets) Refresh(context.Context) (*group.View, error) { return f.View(), nil }

// ReadFloor implements group.Watcher.
func (f *fakeTargets) ReadFloor(context.Context) (topology.Point, error) {
	return topology.Point{}, nil
}

// ConfirmCommit implements group.Watcher.
func (f *fakeTargets) ConfirmCommit(ctx context.Context, _ group.Commit) (topology.Point, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if confirming := f.mu.confirming; confirming != nil {
		f.mu.Unlock()
		confirming()
		f.mu.Lock()
	}
	if ctx.Err() != nil {
		return topology.Point{}, group.ErrNoEvidence
	}
	if f.mu.unconfirmed > 0 {
		f.mu.unconfirmed--
		return topology.Point{}, group.ErrNoEvidence
	}
	return topology.Point{}, nil
}

// ResolveTransaction implements group.Watcher. It knows nothing of commits that
// found no evidence.
func (f *fakeTargets) ResolveTransaction(_ context.Context, _ group.Commit, id uint64) (platform.TransactionOutcome, topology.Point, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.mu.unresolved {
		return platform.OutcomeUnknown, topology.Point{}, group.ErrNoEvidence
	}
	if f.mu.outcomes[id] != platform.OutcomeCommitted {
		f.mu.outcomes[id] = platform.OutcomeAborted
	}
	return f.mu.outcomes[id], topology.Point{}, nil
}

// Suspect implements group.Watcher.
func (f *fakeTargets) Suspect(topology.TargetID) {}

// fakeConn is a connection to a scripted target.
type fakeConn struct {
	targets  *fakeTargets
	id       topology.TargetID
	socket   net.Conn
	status   byte
	settings map[string]string
	written  []string
	xid      uint64
	bound    string
	answer   []byte
}

// Read records what the target is sent.
func (c *fakeConn) Read(p []byte) (int, error) {
	n, err := c.socket.Read(p)
	c.targets.mu.Lock()
	defer c.targets.mu.Unlock()
	c.targets.mu.received = append(c.targets.mu.received, p[:n]...)
	return n, err
}

func (c *fakeConn) add(messages ...pgproto3.BackendMessage) {
	for _, message := range messages {
		c.answer, _ = message.Encode(c.answer)
	}
}

func (c *fakeConn) serve() {
	defer c.socket.Close()
	backend := pgproto3.NewBackend(c, c.socket)
	if _, err := backend.ReceiveStartupMessage(); err != nil {
		return
	}
	c.add(&pgproto3.AuthenticationOk{}, &pgproto3.BackendKeyData{SecretKey: make([]byte, 4)}, &pgproto3.ReadyForQuery{TxStatus: 'I'})
	if c.flush(noFault) != nil {
		return
	}
	for {
		message, err := backend.Receive()
		if err != nil {
			return
		}
		spoiled := noFault
		if query, ok := message.(*pgproto3.Query); ok {
			c.run(query.String)
			c.add(&pgproto3.ReadyForQuery{TxStatus: c.status})
			spoiled = c.targets.takeFault(c.id)
		} else {
			c.runExtended(message)
		}
		if c.flush(spoiled) != nil {
			return
		}
	}
}

// runExtended answers each message at once. A portal returns its parameter.
func (c *fakeConn) runExtended(message pgproto3.FrontendMessage) {
	switch message := message.(type) {
	case *pgproto3.Parse:
		c.add(&pgproto3.ParseComplete{})
	case *pgproto3.Bind:
		c.bound = string(message.Parameters[0])
		c.add(&pgproto3.BindComplete{})
	case *pgproto3.Execute:
		c.add(&pgproto3.DataRow{Values: [][]byte{[]byte(c.bound)}})
		c.done("SELECT 1")
	case *pgproto3.Sync:
		c.add(&pgproto3.ReadyForQuery{TxStatus: c.status})
	}
}

// flush sends the answer as the fault has it. It fails once the connection is
// of no use.
func (c *fakeConn) flush(spoiled fault) error {
	answer := c.answer
	c.answer = nil
	if spoiled.twice {
		answer = append(answer, answer...)
	}
	if spoiled.late {
		var one [1]byte
		for {
			if _, err := c.socket.Read(one[:]); err != nil {
				break
			}
		}
	}
	if spoiled.cut >= 0 {
		_, _ = c.socket.Write(answer[:min(spoiled.cut, len(answer))])
		return net.ErrClosed
	}
	_, err := c.socket.Write(answer)
	return err
}

func (c *fakeConn) run(query string) {
	words := strings.Fields(strings.TrimPrefix(query, classify.IdempotentHint))
	switch {
	case words[0] == "BEGIN":
		c.status = 'T'
		c.done("BEGIN")
	case words[0] == "COMMIT":
		c.done(c.commit())
	case words[0] == "ROLLBACK":
		c.end()
		c.done("ROLLBACK")
	case words[0] == "SET":
		c.settings[words[1]] = strings.Trim(words[len(words)-1], "'")
		c.done("SET")
	case words[0] == "RESET":
		delete(c.settings, words[1])
		c.done("RESET")
	case words[0] == "SHOW":
		c.row(c.settings[words[1]])
	case words[0] == "INSERT":
		c.written = append(c.written, words[1])
		c.done("INSERT 0 1")
	case query == queryTransaction:
		c.row(c.identify())
	case words[0] == "TABLE":
		count, _ := strconv.Atoi(words[1])
		c.rows(words[2], count)
	default:
		c.row(strings.Trim(words[1], "'"))
	}
}

func (c *fakeConn) done(tag string) { c.add(&pgproto3.CommandComplete{CommandTag: []byte(tag)}) }

func (c *fakeConn) row(value string) { c.rows(value, 1) }

func (c *fakeConn) rows(value string, count int) {
	c.add(&pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{Name: []byte("v"), DataTypeOID: textOID}}})
	for range count {
		c.add(&pgproto3.DataRow{Values: [][]byte{[]byte(value)}})
	}
	c.done("SELECT " + strconv.Itoa(count))
}

func (c *fakeConn) identify() string {
	c.targets.mu.Lock()
	defer c.targets.mu.Unlock()
	c.targets.mu.nextID++
	c.xid = c.targets.mu.nextID
	return strconv.FormatUint(c.xid, 10)
}

func (c *fakeConn) end() {
	c.status, c.written, c.xid = 'I', nil, 0
}

// commit keeps the rows, unless the transaction has been settled as aborted.
func (c *fakeConn) commit() string {
	defer c.end()
	c.targets.mu.Lock()
	defer c.targets.mu.Unlock()
	if c.targets.mu.outcomes[c.xid] == platform.OutcomeAborted {
		return "ROLLBACK"
	}
	c.targets.mu.outcomes[c.xid] = platform.OutcomeCommitted
	for _, value := range c.written {
		c.targets.mu.committed[value]++
	}
	return "COMMIT"
}

// sent reports whether the targets were ever sent the text.
func (f *fakeTargets) sent(text string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return bytes.Contains(f.mu.received, []byte(text))
}
