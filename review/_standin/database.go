package main

import (
	"fmt"
	"net"
	"sync"
	"time"
)

// Figures of the databases of the small deployments.
const (
	handshakeTime  = 12 * time.Millisecond
	queueLength    = 24
	shippingTime   = time.Millisecond
	demotionDelay  = time.Second
	syncPollPeriod = time.Millisecond
)

// entry is one committed write in a log. Its number is its index plus one.
type entry struct {
	term             int
	id, item, data   string
	committed, lands time.Time // lands is when this member can show it to reads
}

// run is one statement that a member has run.
type run struct {
	id, text, customer, member string
	at                         time.Time
}

// group is a service: a primary and its replicas, which replicate over the network.
type group struct {
	service              string
	slots, connections   int
	syncReplicas         int
	lag, promoteDuration time.Duration
	work                 func() time.Duration

	mu       sync.Mutex
	members  []*member
	term     int
	primary  *member
	runs     []run
	promoted func(m *member, log []entry) // called when a promotion takes effect
}

// member is one database of a group.
type member struct {
	group   *group
	id      string
	address string
	slots   chan struct{}

	// The fields below are guarded by group.mu.
	listener net.Listener
	isDown   bool
	leads    bool
	term     int
	log      []entry
	demoteAt time.Time
	// The member receives nothing until deafUntil, and neither receives nor answers until
	// darkUntil.
	deafUntil, darkUntil time.Time
	waiting              int
	conns                map[net.Conn]bool
	born                 int64
	sequence             int
}

func startGroup(service string, size, slots, connections, syncReplicas int, lag, promote time.Duration, work func() time.Duration) (*group, error) {
	g := &group{service: service, slots: slots, connections: connections, syncReplicas: syncReplicas, lag: lag,
		promoteDuration: promote, work: work, term: 3}
	for i := range size {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		m := &member{group: g, id: fmt.Sprintf("i-%s-%d", service, i+1), address: listener.Addr().String(), listener: listener,
			slots: make(chan struct{}, slots), term: g.term, conns: make(map[net.Conn]bool), born: time.Now().UnixMilli()}
		g.members = append(g.members, m)
		go m.accept(listener)
	}
	g.primary, g.members[0].leads = g.members[0], true
	go g.replicate()
	return g, nil
}

// replicate ships the primary's log to the replicas that receive, for as long as the
// process runs.
func (g *group) replicate() {
	for range time.Tick(time.Millisecond) {
		now := time.Now()
		g.mu.Lock()
		for _, m := range g.members {
			if m != g.primary && m.leads && !m.demoteAt.IsZero() && now.After(m.demoteAt) && !m.isDown {
				m.leads = false
			}
			if m.leads || m.isDown || g.primary.isDown || now.Before(m.deafUntil) || now.Before(m.darkUntil) {
				continue
			}
			source := g.primary.log
			same := 0
			for same < len(m.log) && same < len(source) && m.log[same].id == source[same].id {
				same++
			}
			m.log, m.term = m.log[:same], g.primary.term
			for len(m.log) < len(source) && now.Sub(source[len(m.log)].committed) >= shippingTime {
				received := source[len(m.log)]
				received.lands = now.Add(g.lag)
				m.log = append(m.log, received)
			}
		}
		g.mu.Unlock()
	}
}

// setDown crashes a member or starts it again with its log.
func (m *member) setDown(down bool) error {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	if m.isDown == down {
		return nil
	}
	m.isDown = down
	if down {
		_ = m.listener.Close()
		for conn := range m.conns {
			_ = conn.Close()
		}
		return nil
	}
	listener, err := net.Listen("tcp", m.address)
	if err != nil {
		return err
	}
	m.listener, m.leads = listener, m == m.group.primary
	go m.accept(listener)
	return nil
}

// promote has a member lead the next term after the duration of a promotion. It reports
// whether the member runs.
func (g *group) promote(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range g.members {
		if m.id != id || m.isDown {
			continue
		}
		if m != g.primary {
			time.AfterFunc(g.promoteDuration, func() { g.completePromotion(m) })
		}
		return true
	}
	return false
}

func (g *group) completePromotion(m *member) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if m.isDown || m == g.primary {
		return
	}
	g.primary.demoteAt = time.Now().Add(demotionDelay)
	g.term++
	g.primary, m.leads, m.term, m.demoteAt = m, true, g.term, time.Time{}
	if g.promoted != nil {
		g.promoted(m, append([]entry(nil), m.log...))
	}
}

// executed returns the statements that members have run so far.
func (g *group) executed() []run {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]run(nil), g.runs...)
}

func (m *member) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go m.serve(conn)
	}
}

// value returns the newest value of an item that the member shows. The caller holds
// group.mu.
func (m *member) value(item string) string {
	for n := m.shown(); n > 0; n-- {
		if m.log[n-1].item == item {
			return m.log[n-1].data
		}
	}
	return "-"
}

// commit appends a write to the log. The caller holds group.mu.
func (m *member) commit(e entry) {
	e.term, e.committed, e.lands = m.term, time.Now(), time.Now()
	m.log = append(m.log, e)
}

// awaitReplica waits until one replica has received the commit with a number. It returns
// false when the member crashes or is replaced before.
func (m *member) awaitReplica(id string, number int) bool {
	g := m.group
	for {
		g.mu.Lock()
		ended, received := m.isDown || m != g.primary, false
		for _, other := range g.members {
			received = received || other != m && len(other.log) >= number && number > 0 && other.log[number-1].id == m.log[number-1].id
		}
		g.mu.Unlock()
		if received || ended {
			return received
		}
		time.Sleep(syncPollPeriod)
	}
}
