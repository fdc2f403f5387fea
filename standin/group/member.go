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

// Events of the members.
var (
	eventStarted  = event.Define(8001, event.Info, "stand-in member started")
	eventStopped  = event.Define(8002, event.Info, "stand-in member stopped")
	eventFenced   = event.Define(8003, event.Info, "stand-in member fenced")
	eventPromoted = event.Define(8004, event.Info, "stand-in member promoted")
	eventDemoted  = event.Define(8005, event.Info, "stand-in member is not primary any more")
	eventFaults   = event.Define(8006, event.Info, "stand-in member's faults changed")
)

// errStopped reports that the member's process is not running.
var errStopped = errors.New("stand-in member stopped")

// Member is one server of a group. Its database outlasts Kill and Restart, as a
// disk does.
type Member struct {
	cfg      Config
	target   platform.Target
	verifier *session.Verifier
	database *database.Database
	peers    []peer
	slots    chan struct{}
	gates    gates

	mu struct {
		sync.Mutex
		faults   Faults
		run      *run
		identity uint32
		seen     map[string]map[string]struct{}
		stats    Stats
	}
}

// Stats counts what a member has done.
type Stats struct {
	// Connections is how many sessions are open; Peak is the most there were.
	Connections int `json:"connections"`
	Peak        int `json:"peak"`
	// Refused is how many sessions found no room.
	Refused int `json:"refused"`
	// Statements is how many statements took a slot.
	Statements uint64 `json:"statements"`
}

// run is what lives between a start and a stop.
type run struct {
	member   *Member
	listener net.Listener
	control  net.Listener
	server   *http.Server
	stopped  chan struct{}
	wait     sync.WaitGroup

	// The member's lock guards the following.
	sessions map[session.Identity]*session.Session
	conns    map[net.Conn]struct{}
}

func newMember(cfg Config, target platform.Target, verifier *session.Verifier) *Member {
	m := &Member{cfg: cfg, target: target, verifier: verifier, gates: newGates()}
	m.database = database.New(database.Config{
		ID:                  target.ID,
		Clock:               cfg.Clock,
		ReuseTransactionIDs: cfg.ReuseTransactionIDs,
		Demoted:             m.demoted,
	})
	if cfg.Slots > 0 {
		m.slots = make(chan struct{}, cfg.Slots)
	}
	m.mu.seen = make(map[string]map[string]struct{})
	return m
}

// Target returns the member's name and addresses.
func (m *Member) Target() platform.Target { return m.target }

// Database returns the member's server model.
func (m *Member) Database() *database.Database { return m.database }

// Stats returns the member's counters.
func (m *Member) Stats() Stats {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.mu.stats
}

// Restart starts the member's process, on the addresses it had. It does nothing
// when the member is running.
func (m *Member) Restart() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.mu.run != nil {
		return nil
	}
	listener, err := listen(m.target.Address)
	if err != nil {
		return eris.Wrapf(err, "start target %s", m.target.ID)
	}
	control, err := listen(m.target.Control)
	if err != nil {
		listener.Close()
		return eris.Wrapf(err, "start the control of target %s", m.target.ID)
	}
	m.target.Address = listener.Addr().String()
	m.target.Control = control.Addr().String()
	r := &run{
		member:   m,
		listener: listener,
		control:  control,
		stopped:  make(chan struct{}),
		sessions: make(map[session.Identity]*session.Session),
		conns:    make(map[net.Conn]struct{}),
	}
	r.server = &http.Server{Handler: m.controlHandler(r)}
	m.mu.run = r
	r.start()
	eventStarted.Log(m.cfg.Log, "target", m.target.ID, "address", m.target.Address, "control", m.target.Control)
	return nil
}

func listen(address string) (net.Listener, error) {
	if address == "" {
		address = "127.0.0.1:0"
	}
	return net.Listen("tcp", address)
}

func (r *run) start() {
	r.spawn(r.accept)
	r.spawn(func() { _ = r.server.Serve(r.control) })
	r.spawn(r.replay)
	for _, p := range r.member.peers {
		r.spawn(func() { r.replicate(p) })
	}
}

func (r *run) spawn(f func()) { r.wait.Go(f) }

func (m *Member) running() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.mu.run != nil
}

// Kill stops the member's process at once: connections break, open transactions
// are lost, the log stays. It returns when everything has stopped.
func (m *Member) Kill() {
	m.mu.Lock()
	r := m.mu.run
	m.mu.run = nil
	if r == nil {
		m.mu.Unlock()
		return
	}
	close(r.stopped)
	for conn := range r.conns {
		conn.Close()
	}
	for _, s := range r.sessions {
		s.Close()
	}
	m.mu.Unlock()
	r.listener.Close()
	r.server.Close()
	m.database.Crash()
	r.wait.Wait()
	eventStopped.Log(m.cfg.Log, "target", m.target.ID)
}

func (r *run) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		if !r.track(conn) {
			conn.Close()
			return
		}
		r.spawn(func() { r.serve(conn) })
	}
}

func (r *run) track(conn net.Conn) bool {
	r.member.mu.Lock()
	defer r.member.mu.Unlock()
	if r.member.mu.run != r {
		return false
	}
	r.conns[conn] = struct{}{}
	return true
}

func (r *run) serve(conn net.Conn) {
	m := r.member
	host := &host{run: r}
	s := session.New(session.Config{
		Host:     host,
		Database: m.database,
		Target:   string(m.target.ID),
		User:     m.cfg.User,
		Password: m.cfg.Password,
		Verifier: m.verifier,
		TLS:      m.cfg.TLS,
	}, conn)
	// How a session ends is its caller's business.
	_ = s.Serve()
	host.disconnect()
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(r.conns, conn)
}

// demoted ends the data sessions after the server has stopped being primary.
func (m *Member) demoted() {
	m.mu.Lock()
	defer m.mu.Unlock()
	eventDemoted.Log(m.cfg.Log, "target", m.target.ID)
	if m.mu.run == nil {
		return
	}
	for _, s := range m.mu.run.sessions {
		s.Terminate()
	}
}
