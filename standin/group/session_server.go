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

// sessionServer connects one session to its member: it applies the member's
// limits, delays and faults. It implements session.Server.
type sessionServer struct {
	process *process
	// cancelKey is set when the session is admitted.
	cancelKey session.CancelKey
}

// WaitUntilReachable implements session.Server.
func (server *sessionServer) WaitUntilReachable() error {
	gates := server.process.member.gates
	if err := gates.allTraffic.wait(server.process.stopped); err != nil {
		return err
	}
	return gates.callerTraffic.wait(server.process.stopped)
}

// AdmitSession implements session.Server.
func (server *sessionServer) AdmitSession(s *session.Session) (session.CancelKey, error) {
	m := server.process.member
	if !server.registerSession(s) {
		return session.CancelKey{}, &database.Error{Code: "53300", Message: "sorry, too many clients already"}
	}
	return server.cancelKey, server.simulateWork(context.Background(), m.cfg.ConnectCost)
}

// registerSession gives the session a cancel key and counts it, or returns false
// when the member has reached its connection limit.
func (server *sessionServer) registerSession(s *session.Session) bool {
	m := server.process.member
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cfg.MaxConnections > 0 && len(server.process.sessions) >= m.cfg.MaxConnections {
		m.mu.stats.Refused++
		return false
	}
	m.mu.lastProcessID++
	server.cancelKey = session.CancelKey{ProcessID: m.mu.lastProcessID, SecretKey: newSecretKey()}
	server.process.sessions[server.cancelKey] = s
	m.mu.stats.Connections = len(server.process.sessions)
	m.mu.stats.Peak = max(m.mu.stats.Peak, m.mu.stats.Connections)
	return true
}

func newSecretKey() uint32 {
	var secret [4]byte
	// crypto/rand documents that Read never returns an error.
	_, _ = rand.Read(secret[:])
	return binary.BigEndian.Uint32(secret[:])
}

func (server *sessionServer) unregisterSession() {
	m := server.process.member
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(server.process.sessions, server.cancelKey)
	m.mu.stats.Connections = len(server.process.sessions)
}

// RecordStartupParameters implements session.Server.
func (server *sessionServer) RecordStartupParameters(parameters map[string]string) {
	m := server.process.member
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, value := range parameters {
		if m.mu.startupParameters[name] == nil {
			m.mu.startupParameters[name] = make(map[string]struct{})
		}
		m.mu.startupParameters[name][value] = struct{}{}
	}
}

// StartupParameterValues returns the distinct values of a startup parameter that
// callers have sent.
func (m *Member) StartupParameterValues(parameter string) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Collect(maps.Keys(m.mu.startupParameters[parameter]))
}

// AllStartupParameterValues returns the values of all startup parameters that
// callers have sent. The load tool uses it to check that no target receives a
// caller's key.
func (m *Member) AllStartupParameterValues() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var values []string
	for _, valueSet := range m.mu.startupParameters {
		values = slices.AppendSeq(values, maps.Keys(valueSet))
	}
	return values
}

// CancelStatement implements session.Server.
func (server *sessionServer) CancelStatement(cancelKey session.CancelKey) {
	m := server.process.member
	m.mu.Lock()
	defer m.mu.Unlock()
	if s := server.process.sessions[cancelKey]; s != nil {
		s.Cancel()
	}
}

// AcquireStatementSlot implements session.Server.
func (server *sessionServer) AcquireStatementSlot(ctx context.Context) (func(), error) {
	m := server.process.member
	release := func() {}
	if m.statementSlots != nil {
		select {
		case m.statementSlots <- struct{}{}:
			release = func() { <-m.statementSlots }
		case <-ctx.Done():
			return nil, &database.Error{Code: database.CodeQueryCanceled, Message: "canceling statement due to user request"}
		case <-server.process.stopped:
			return nil, errUnreachable
		}
	}
	m.mu.Lock()
	m.mu.stats.Statements++
	m.mu.Unlock()
	if err := server.simulateWork(ctx, m.cfg.ServiceTime); err != nil {
		release()
		return nil, err
	}
	return release, nil
}

// simulateWork waits for the duration, as if the server worked on a request. It
// returns early when ctx is canceled or the process stops.
func (server *sessionServer) simulateWork(ctx context.Context, duration time.Duration) error {
	if duration <= 0 {
		return nil
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return &database.Error{Code: database.CodeQueryCanceled, Message: "canceling statement due to user request"}
	case <-server.process.stopped:
		return errUnreachable
	}
}

// DropCommitResponse implements session.Server.
func (server *sessionServer) DropCommitResponse() bool {
	m := server.process.member
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.mu.faults.DropCommitAnswers == 0 {
		return false
	}
	m.mu.faults.DropCommitAnswers--
	return true
}
