package soak

import (
	"bytes"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	"samphirehitch.example/samphirehitch/platform/platformtest"
)

// sessionState holds the values and the prepared statements, by name, that were acknowledged to
// a session. It does not change once a statement refers to it.
type sessionState struct {
	values   map[string]string
	prepared map[string]platformtest.Prepared
}

// after returns the state after a statement has succeeded.
func (s *sessionState) after(text string) *sessionState {
	keyword, rest, _ := strings.Cut(text, " ")
	name, argument, _ := strings.Cut(rest, " ")
	next := &sessionState{maps.Clone(s.values), maps.Clone(s.prepared)}
	switch keyword {
	case "SET":
		next.values[name] = argument
	case "PREPARE":
		mode, shape, _ := strings.Cut(argument, " ")
		next.prepared[name] = platformtest.Prepared{Mode: mode, Shape: shape}
	case "DEALLOCATE":
		delete(next.prepared, name)
	default:
		return s
	}
	return next
}

func newSessionState() *sessionState {
	return &sessionState{make(map[string]string), make(map[string]platformtest.Prepared)}
}

// addSession records the session that a statement is sent in.
func (h *history) addSession(id string, session *sessionState) {
	h.mu.Lock()
	defer h.mu.Unlock()
	sent := h.statements[id]
	sent.session = session
	h.statements[id] = sent
}

// addSuccess records the response to a statement that succeeded.
func (h *history) addSuccess(id string, response platformtest.Response) {
	h.mu.Lock()
	defer h.mu.Unlock()
	sent := h.statements[id]
	sent.response = &response
	h.statements[id] = sent
}

// addProtocolError records an error of a caller's connection if it is that the daemon sent what the
// protocol does not allow.
func (h *history) addProtocolError(err error) {
	if !errors.As(err, new(*platformtest.ProtocolError)) {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.protocolErrors = append(h.protocolErrors, err.Error())
}

// addUnsolicited records what a daemon sent while no statement was outstanding. Only an ERROR
// counts as a response to nothing.
func (h *history) addUnsolicited(daemon int, received []byte) {
	if len(received) == 0 || bytes.HasPrefix(received, []byte("ERROR ")) {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.protocolErrors = append(h.protocolErrors, fmt.Sprintf("daemon %d sent %q while no statement was outstanding", daemon+1, received))
}

// checkResponses checks that each success of a read, a write or a commit carries the rows and the
// signature of one execution of that statement, and that no other success has any.
func (c *checker) checkResponses(groups []*platformtest.Group) {
	for _, text := range c.protocolErrors {
		c.addViolation("MIXED: %s", text)
	}
	executions := executionsByID(groups)
	for id, sent := range c.statements {
		if sent.response == nil {
			continue
		}
		keyword, _, _ := strings.Cut(sent.text, " ")
		valid := slices.ContainsFunc(executions[id], func(e platformtest.ExecutedStatement) bool {
			return e.Signature == sent.response.Signature && slices.Equal(e.Rows, sent.response.Rows)
		})
		if !slices.Contains([]string{"READ", "WRITE", "EXECUTE", "COMMIT"}, keyword) {
			valid = sent.response.Signature == "-" && len(sent.response.Rows) == 0
		}
		if !valid {
			var produced []string
			for _, e := range executions[id] {
				produced = append(append(produced, e.Rows...), e.Signature)
			}
			c.addViolation("MIXED: %s, sent as %q, got rows %q with signature %q; targets produced %q", id, sent.text, sent.response.Rows, sent.response.Signature, produced)
		}
	}
}

// checkSession checks the values and the prepared statement that a statement was executed with.
func (c *checker) checkSession(sent sentStatement, e platformtest.ExecutedStatement) {
	if sent.session == nil {
		return
	}
	if !maps.Equal(sent.session.values, e.Values) {
		c.addViolation("PINNED: %s was executed with the values %q instead of %q", e.ID, e.Values, sent.session.values)
	}
	if rest, executes := strings.CutPrefix(sent.text, "EXECUTE "); executes {
		name, _, _ := strings.Cut(rest, " ")
		if want := sent.session.prepared[name]; want != e.Prepared {
			c.addViolation("PINNED: %s was executed with the prepared statement %q instead of %q", e.ID, e.Prepared, want)
		}
	}
}
