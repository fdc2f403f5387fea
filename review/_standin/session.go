package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"time"
)

// session is one connection to a member.
type session struct {
	member   *member
	out      *bufio.Writer
	customer string
	state    string
	readOnly bool
	pending  []entry
	prepared map[string]bool // whether it writes, by name
}

func (m *member) serve(conn net.Conn) {
	defer conn.Close()
	in := newMessageReader(conn)
	s := &session{member: m, out: bufio.NewWriter(conn), state: "I", prepared: make(map[string]bool)}
	fields, err := m.readMessage(in, 4)
	if err != nil || len(fields) < 3 || fields[0] != "STARTUP" || fields[1] == "" || fields[2] == "" {
		return
	}
	s.customer = fields[2]
	if fields[1] != m.group.service || len(fields) == 4 && fields[3] != m.id {
		s.send("ERROR MISROUTED " + m.id)
		return
	}
	g := m.group
	g.mu.Lock()
	switch {
	case m.isDown:
		g.mu.Unlock()
		return
	case len(m.conns) >= g.connections:
		g.mu.Unlock()
		s.send("ERROR CONNLIMIT " + m.id)
		return
	}
	m.conns[conn] = true
	g.mu.Unlock()
	defer func() {
		g.mu.Lock()
		delete(m.conns, conn)
		g.mu.Unlock()
	}()
	if !m.occupy(handshakeTime) {
		s.send("ERROR BUSY " + m.id)
		return
	}
	<-m.slots
	if s.ready() != nil {
		return
	}
	for {
		fields, err := m.readMessage(in, 3)
		if err != nil || fields[0] != "QUERY" || len(fields) < 3 || fields[1] == "" {
			return
		}
		if s.query(fields[1], fields[2]) != nil {
			return
		}
	}
}

func (s *session) send(lines ...string) error {
	for _, line := range lines {
		if _, err := s.out.WriteString(line + "\r\n"); err != nil {
			return err
		}
	}
	return s.out.Flush()
}

// ready sends the READY message that ends a response, after the given lines.
func (s *session) ready(lines ...string) error {
	s.member.group.mu.Lock()
	position := fmt.Sprintf("%d.%d", s.member.term, s.member.shown())
	s.member.group.mu.Unlock()
	return s.send(append(lines, "READY "+s.state+" "+position)...)
}

// shown is the number of log entries that reads see. The caller holds group.mu.
func (m *member) shown() int {
	if m.leads {
		return len(m.log)
	}
	n, now := len(m.log), time.Now()
	for n > 0 && m.log[n-1].lands.After(now) {
		n--
	}
	return n
}

// occupy takes a slot and works on it for a time. It returns false, without a slot, when
// too many requests wait already.
func (m *member) occupy(work time.Duration) bool {
	m.group.mu.Lock()
	if m.waiting >= queueLength {
		m.group.mu.Unlock()
		return false
	}
	m.waiting++
	m.group.mu.Unlock()
	m.slots <- struct{}{}
	m.group.mu.Lock()
	m.waiting--
	m.group.mu.Unlock()
	time.Sleep(work)
	return true
}

// fail answers with an error code, which fails an open transaction.
func (s *session) fail(code string) error {
	if s.state == "T" {
		s.state, s.pending = "E", nil
	}
	return s.ready("ERROR " + code + " " + s.member.id)
}

// query runs one statement and answers it.
func (s *session) query(id, text string) error {
	m, g := s.member, s.member.group
	c, wellFormed := parseCall(text)
	if wellFormed && c.keyword == "AFTERLSN" {
		var term, number int
		if _, err := fmt.Sscanf(c.arguments[0], "%d.%d", &term, &number); err != nil {
			return s.fail("MALFORMED")
		}
		g.mu.Lock()
		lacks := m.term < term || m.shown() < number
		g.mu.Unlock()
		if lacks {
			return s.fail("LAGGING")
		}
		text = c.arguments[1]
		c, wellFormed = parseCall(text)
		wellFormed = wellFormed && c.keyword != "AFTERLSN"
	}
	if !wellFormed || s.state == "E" && c.keyword != "ROLLBACK" && c.keyword != "COMMIT" {
		return s.fail("MALFORMED")
	}
	switch c.keyword {
	case "BEGIN":
		g.mu.Lock()
		leads := m.leads
		g.mu.Unlock()
		if s.readOnly = text == "BEGIN READ"; !s.readOnly && !leads {
			return s.fail("READONLY")
		}
		s.state = "T"
		return s.ready("COMPLETE -")
	case "ROLLBACK":
		s.state, s.pending = "I", nil
		return s.ready("COMPLETE -")
	case "PREPARE":
		s.prepared[c.arguments[0]] = c.arguments[1] == "WRITE"
		return s.ready("COMPLETE -")
	case "RESET":
		clear(s.prepared)
		return s.ready("COMPLETE -")
	case "SET", "DEALLOCATE", "PAUSE", "RESUME":
		return s.ready("COMPLETE -")
	case "DEMOTE":
		g.mu.Lock()
		if m != g.primary {
			m.leads = false
		}
		g.mu.Unlock()
		return s.status()
	case "STATUS":
		return s.status()
	}
	return s.data(id, text, c)
}

// status answers STATUS, which occupies a slot.
func (s *session) status() error {
	m, g := s.member, s.member.group
	if !m.occupy(0) {
		return s.fail("BUSY")
	}
	defer func() { <-m.slots }()
	g.mu.Lock()
	role := "replica"
	if m.leads {
		role = "primary"
	}
	row := fmt.Sprintf("ROW %s %d %d.%d 0 0 %d %d", role, m.term, m.term, len(m.log), len(m.slots), len(m.conns))
	g.mu.Unlock()
	return s.ready(row, "COMPLETE -")
}

// data runs a read, a write or a commit, which occupies a slot.
func (s *session) data(id, text string, c call) error {
	m, g := s.member, s.member.group
	keyword, arguments := c.keyword, c.arguments
	if keyword == "EXECUTE" {
		writes, known := s.prepared[arguments[0]]
		if !known {
			return s.fail("NOSTMT")
		}
		keyword, arguments = "READ", arguments[1:]
		if writes {
			keyword = "WRITE"
		}
	}
	if keyword == "COMMIT" && s.state == "E" {
		s.state, s.pending = "I", nil
		return s.ready("ERROR ABORTED " + m.id)
	}
	if !m.occupy(g.work()) {
		return s.fail("BUSY")
	}
	defer func() { <-m.slots }()
	g.mu.Lock()
	lost := !m.leads && (keyword == "WRITE" || s.state == "T" && !s.readOnly && (keyword != "COMMIT" || len(s.pending) > 0))
	if m.isDown || lost || keyword == "WRITE" && s.readOnly && s.state == "T" {
		g.mu.Unlock()
		return s.fail("READONLY")
	}
	g.runs = append(g.runs, run{id: id, text: text, customer: s.customer, member: m.id, at: time.Now()})
	answer := []string{fmt.Sprintf("COMPLETE %s.%d.%08x", m.id, len(g.runs), rand.Uint32())}
	wrote := false
	switch keyword {
	case "READ":
		answer = append([]string{"ROW " + m.value(strings.Join(arguments, " "))}, answer...)
	case "WRITE":
		e := entry{id: id, item: arguments[0]}
		if len(arguments) > 1 {
			e.data = arguments[1]
		}
		if s.state == "T" {
			s.pending = append(s.pending, e)
		} else {
			m.commit(e)
			wrote = true
		}
	case "COMMIT":
		for _, e := range s.pending {
			m.commit(e)
			wrote = true
		}
		s.state, s.pending = "I", nil
	}
	number := len(m.log)
	g.mu.Unlock()
	if wrote && g.syncReplicas > 0 && !m.awaitReplica(id, number) {
		return net.ErrClosed
	}
	return s.ready(answer...)
}
