package group

import (
	"errors"
	"net"
	"net/http"
	"sync"

	"github.com/rotisserie/eris"

	"samphirehitch.example/samphirehitch/process/event"
	"samphirehitch.example/samphirehitch/process/platform"
	"samphirehitch.example/samphirehitch/standin/database"
	"samphirehitch.example/samphirehitch/standin/session"
)

// Events of members.
var (
	eventStarted       = event.Define(8001, event.Info, "stand-in member started")
	eventStopped       = event.Define(8002, event.Info, "stand-in member stopped")
	eventFenced        = event.Define(8003, event.Info, "stand-in member fenced")
	eventPromoted      = event.Define(8004, event.Info, "stand-in member promoted")
	eventDemoted       = event.Define(8005, event.Info, "stand-in member demoted to replica")
	eventFaultsChanged = event.Define(8006, event.Info, "faults of stand-in member changed")
)

// errUnreachable reports that the member's process does not run, that a fault
// drops the request, or that the request was canceled while a fault delayed it.
var errUnreachable = errors.New("stand-in member is not running or not reachable")

// Member is one emulated database server of a group. Kill and Restart stop and
// start its process; the database, the faults and the counters outlast it, as
// data on a disk does.
type Member struct {
	cfg Config
	// target's empty addresses are set when Start starts the member.
	target   platform.Target
	verifier *session.Verifier
	database *database.Database
	peers    []peer
	// statementSlots holds a value per statement that runs. Nil means no bound.
	statementSlots chan struct{}
	gates          gates

	mu struct {
		sync.Mutex
		faults Faults
		// process is nil while the member is killed.
		process *process
		// lastProcessID is the backend process ID of the latest session.
		lastProcessID uint32
		// startupParameters maps each startup parameter to the set of values that
		// callers have sent for it.
		startupParameters map[string]map[string]struct{}
		stats             Stats
	}
}

// Stats counts the sessions and statements of a member.
type Stats struct {
	// Connections is the number of open sessions; Peak is the highest number so
	// far.
	Connections int `json:"connections"`
	Peak        int `json:"peak"`
	// Refused counts the sessions beyond the connection limit.
	Refused int `json:"refused"`
	// Statements counts the statements that were given a slot.
	Statements uint64 `json:"statements"`
}

// process is the emulated server process of a member, from Restart to Kill.
type process struct {
	member          *Member
	dataListener    net.Listener
	controlListener net.Listener
	controlServer   *http.Server
	// stopped is closed by Kill.
	stopped    chan struct{}
	goroutines sync.WaitGroup

	// Member.mu guards the following fields.

	// sessions holds the sessions that AdmitSession has let in.
	sessions map[session.CancelKey]*session.Session
	// conns holds every accepted connection, also before it has a session.
	conns map[net.Conn]struct{}
}

func newMember(cfg Config, target platform.Target, verifier *session.Verifier) *Member {
	m := &Member{cfg: cfg, target: target, verifier: verifier, gates: newGates()}
	m.database = database.New(database.Config{
		ID:                  target.ID,
		Clock:               cfg.Clock,
		ReuseTransactionIDs: cfg.ReuseTransactionIDs,
		OnDemoted:           m.terminateSessions,
	})
	if cfg.Slots > 0 {
		m.statementSlots = make(chan struct{}, cfg.Slots)
	}
	m.mu.startupParameters = make(map[string]map[string]struct{})
	return m
}

// Target returns the member's ID and addresses.
func (m *Member) Target() platform.Target { return m.target }

// Database returns the member's database, which tests read and change directly.
func (m *Member) Database() *database.Database { return m.database }

// Stats returns the member's counters.
func (m *Member) Stats() Stats {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.mu.stats
}

// Restart starts the member's process. A member that ran before gets the same
// addresses again. Restart does nothing while the process runs.
func (m *Member) Restart() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.mu.process != nil {
		return nil
	}
	listener, err := listen(m.target.Address)
	if err != nil {
		return eris.Wrapf(err, "listen for callers of target %s", m.target.ID)
	}
	control, err := listen(m.target.Control)
	if err != nil {
		listener.Close()
		return eris.Wrapf(err, "listen for control requests to target %s", m.target.ID)
	}
	m.target.Address = listener.Addr().String()
	m.target.Control = control.Addr().String()
	proc := &process{
		member:          m,
		dataListener:    listener,
		controlListener: control,
		stopped:         make(chan struct{}),
		sessions:        make(map[session.CancelKey]*session.Session),
		conns:           make(map[net.Conn]struct{}),
	}
	proc.controlServer = &http.Server{Handler: m.newControlHandler(proc)}
	m.mu.process = proc
	proc.start()
	eventStarted.Log(m.cfg.Log, "target", m.target.ID, "address", m.target.Address, "control", m.target.Control)
	return nil
}

// listen opens a TCP listener, on a free loopback port when address is empty.
func listen(address string) (net.Listener, error) {
	if address == "" {
		address = "127.0.0.1:0"
	}
	return net.Listen("tcp", address)
}

func (proc *process) start() {
	proc.spawn(proc.acceptConnections)
	proc.spawn(func() { _ = proc.controlServer.Serve(proc.controlListener) })
	proc.spawn(proc.replayContinuously)
	for _, p := range proc.member.peers {
		proc.spawn(func() { proc.replicateTo(p) })
	}
}

func (proc *process) spawn(f func()) { proc.goroutines.Go(f) }

func (m *Member) isRunning() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.mu.process != nil
}

// Kill stops the member's process as SIGKILL does: connections break and open
// transactions abort, while the log persists. It returns when the goroutines of the
// process have returned.
func (m *Member) Kill() {
	m.mu.Lock()
	proc := m.mu.process
	m.mu.process = nil
	if proc == nil {
		m.mu.Unlock()
		return
	}
	close(proc.stopped)
	for conn := range proc.conns {
		conn.Close()
	}
	for _, s := range proc.sessions {
		s.Close()
	}
	m.mu.Unlock()
	proc.dataListener.Close()
	proc.controlServer.Close()
	m.database.Crash()
	proc.goroutines.Wait()
	eventStopped.Log(m.cfg.Log, "target", m.target.ID)
}

func (proc *process) acceptConnections() {
	for {
		conn, err := proc.dataListener.Accept()
		if err != nil {
			return
		}
		if !proc.trackConnection(conn) {
			conn.Close()
			return
		}
		proc.spawn(func() { proc.serveConnection(conn) })
	}
}

// trackConnection registers a connection for Kill to close. It returns false when
// the process has been killed already.
func (proc *process) trackConnection(conn net.Conn) bool {
	proc.member.mu.Lock()
	defer proc.member.mu.Unlock()
	if proc.member.mu.process != proc {
		return false
	}
	proc.conns[conn] = struct{}{}
	return true
}

func (proc *process) serveConnection(conn net.Conn) {
	m := proc.member
	server := &sessionServer{process: proc}
	s := session.New(session.Config{
		Server:   server,
		Database: m.database,
		Target:   string(m.target.ID),
		User:     m.cfg.User,
		Password: m.cfg.Password,
		Verifier: m.verifier,
		TLS:      m.cfg.TLS,
	}, conn)
	// An error concerns only this session's client, to which Serve has sent it where
	// it is to be reported.
	_ = s.Serve()
	server.unregisterSession()
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(proc.conns, conn)
}

// terminateSessions closes every session with SQLSTATE 57P01 after the database
// was demoted, so that no caller continues to use the member as the primary.
func (m *Member) terminateSessions() {
	m.mu.Lock()
	defer m.mu.Unlock()
	eventDemoted.Log(m.cfg.Log, "target", m.target.ID)
	if m.mu.process == nil {
		return
	}
	for _, s := range m.mu.process.sessions {
		s.Terminate()
	}
}
