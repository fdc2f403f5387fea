package group

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"samphirehitch.example/samphirehitch/standin/database"
	"samphirehitch.example/samphirehitch/standin/session"
)

// host is a session's view of its member. It implements session.Host.
type host struct {
	run      *run
	identity session.Identity
}

// Pass implements session.Host.
func (h *host) Pass() error {
	gates := h.run.member.gates
	if err := gates.frozen.pass(h.run.stopped); err != nil {
		return err
	}
	return gates.callers.pass(h.run.stopped)
}

// Connect implements session.Host.
func (h *host) Connect(s *session.Session) (session.Identity, error) {
	m := h.run.member
	if !h.admit(s) {
		return session.Identity{}, &database.Error{Code: "53300", Message: "sorry, too many clients already"}
	}
	return h.identity, h.spend(context.Background(), m.cfg.ConnectCost)
}

func (h *host) admit(s *session.Session) bool {
	m := h.run.member
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cfg.Connections > 0 && len(h.run.sessions) >= m.cfg.Connections {
		m.mu.stats.Refused++
		return false
	}
	m.mu.identity++
	h.identity = session.Identity{Process: m.mu.identity, Secret: newSecret()}
	h.run.sessions[h.identity] = s
	m.mu.stats.Connections = len(h.run.sessions)
	m.mu.stats.Peak = max(m.mu.stats.Peak, m.mu.stats.Connections)
	return true
}

func newSecret() uint32 {
	var secret [4]byte
	// Read never fails (package crypto/rand).
	_, _ = rand.Read(secret[:])
	return binary.BigEndian.Uint32(secret[:])
}

func (h *host) disconnect() {
	m := h.run.member
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(h.run.sessions, h.identity)
	m.mu.stats.Connections = len(h.run.sessions)
}

// Observe implements session.Host.
func (h *host) Observe(parameters map[string]string) {
	m := h.run.member
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, value := range parameters {
		if m.mu.seen[name] == nil {
			m.mu.seen[name] = make(map[string]struct{})
		}
		m.mu.seen[name][value] = struct{}{}
	}
}

// Seen returns the values of a startup parameter that callers have sent.
func (m *Member) Seen(parameter string) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Collect(maps.Keys(m.mu.seen[parameter]))
}

// SeenValues returns every value of every startup parameter that callers have
// sent.
func (m *Member) SeenValues() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var values []string
	for _, of := range m.mu.seen {
		values = slices.AppendSeq(values, maps.Keys(of))
	}
	return values
}

// Cancel implements session.Host.
func (h *host) Cancel(identity session.Identity) {
	m := h.run.member
	m.mu.Lock()
	defer m.mu.Unlock()
	if s := h.run.sessions[identity]; s != nil {
		s.Cancel()
	}
}

// Work implements session.Host.
func (h *host) Work(ctx context.Context) (func(), error) {
	m := h.run.member
	release := func() {}
	if m.slots != nil {
		select {
		case m.slots <- struct{}{}:
			release = func() { <-m.slots }
		case <-ctx.Done():
			return nil, &database.Error{Code: database.CodeQueryCanceled, Message: "canceling statement due to user request"}
		case <-h.run.stopped:
			return nil, errStopped
		}
	}
	m.mu.Lock()
	m.mu.stats.Statements++
	m.mu.Unlock()
	if err := h.spend(ctx, m.cfg.ServiceTime); err != nil {
		release()
		return nil, err
	}
	return release, nil
}

func (h *host) spend(ctx context.Context, length time.Duration) error {
	if length <= 0 {
		return nil
	}
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return &database.Error{Code: database.CodeQueryCanceled, Message: "canceling statement due to user request"}
	case <-h.run.stopped:
		return errStopped
	}
}

// DropAnswer implements session.Host.
func (h *host) DropAnswer() bool {
	m := h.run.member
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.mu.faults.DropCommitAnswers == 0 {
		return false
	}
	m.mu.faults.DropCommitAnswers--
	return true
}
