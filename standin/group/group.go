// Package group runs a database group as a stand-in: members that speak the
// PostgreSQL protocol to callers, HTTP and JSON on a control address each, and
// replicate asynchronously from the primary. It promotes nobody by itself. Tests
// start one on loopback; the stand-in program serves the same.
package group

import (
	"context"
	"crypto/tls"
	"fmt"
	"time"

	"github.com/go-logr/logr"
	"github.com/rotisserie/eris"

	"samphirehitch.example/samphirehitch/process/clock"
	"samphirehitch.example/samphirehitch/process/platform"
	"samphirehitch.example/samphirehitch/process/topology"
	"samphirehitch.example/samphirehitch/standin/session"
)

// Config sets up a Group.
type Config struct {
	// Members run in this process. An empty address means a free port on
	// 127.0.0.1.
	Members []platform.Target
	// Remote members run elsewhere; their log is streamed to their control
	// address.
	Remote []platform.Target
	// FirstPrimary is promoted at term 1 when it runs in this process and is not
	// empty.
	FirstPrimary topology.TargetID
	// Slots is how many statements a member runs at once. Zero means no bound.
	Slots int
	// Connections is how many sessions a member takes. Zero means no bound.
	Connections int
	// ConnectCost is the time that a new session takes.
	ConnectCost time.Duration
	// ServiceTime is how long a statement keeps its slot.
	ServiceTime time.Duration
	// User and Password are what sessions log in with; an empty password means
	// that none is asked for.
	User     string
	Password string
	// SCRAM asks for a proof of the password by SCRAM-SHA-256 instead of the
	// password in clear text.
	SCRAM bool
	// TLS is nil when members refuse encryption.
	TLS *tls.Config
	// ReuseTransactionIDs is as in database.Config.
	ReuseTransactionIDs bool
	// Clock judges lags. Nil means the system's.
	Clock clock.Clock
	// Log receives what the members do. The zero value drops it.
	Log logr.Logger
}

// Group is a running group, or the part of it that runs in this process.
type Group struct {
	members []*Member
}

// Start runs the members of cfg. The caller closes the group.
func Start(cfg Config) (*Group, error) {
	if cfg.Clock == nil {
		cfg.Clock = clock.System()
	}
	var verifier *session.Verifier
	if cfg.SCRAM {
		var err error
		if verifier, err = session.NewVerifier(cfg.Password); err != nil {
			return nil, err
		}
	}
	g := &Group{}
	for _, target := range cfg.Members {
		g.members = append(g.members, newMember(cfg, target, verifier))
	}
	for _, m := range g.members {
		m.peers = g.peersOf(m, cfg.Remote)
	}
	for _, m := range g.members {
		if err := m.Restart(); err != nil {
			g.Close()
			return nil, err
		}
	}
	if err := g.promoteFirst(cfg.FirstPrimary); err != nil {
		g.Close()
		return nil, err
	}
	return g, nil
}

// Targets returns n members named prefix-1 and on, spread over the failure
// domains in turn, with addresses that Start chooses.
func Targets(prefix string, n int, domains ...topology.FailureDomain) []platform.Target {
	targets := make([]platform.Target, n)
	for i := range targets {
		targets[i].ID = topology.TargetID(fmt.Sprintf("%s-%d", prefix, i+1))
		if len(domains) > 0 {
			targets[i].FailureDomain = domains[i%len(domains)]
		}
	}
	return targets
}

func (g *Group) peersOf(m *Member, remote []platform.Target) []peer {
	var peers []peer
	for _, other := range g.members {
		if other != m {
			peers = append(peers, localPeer{other})
		}
	}
	for _, target := range remote {
		peers = append(peers, newRemotePeer(target))
	}
	return peers
}

func (g *Group) promoteFirst(id topology.TargetID) error {
	const firstTerm = 1
	m := g.Member(id)
	if m == nil {
		return nil
	}
	ctx := context.Background()
	if _, err := m.database.Fence(ctx, firstTerm); err != nil {
		return eris.Wrap(err, "fence the first primary")
	}
	_, err := m.database.Promote(ctx, firstTerm)
	return eris.Wrap(err, "promote the first primary")
}

// Member returns the member of that name, or nil when it doesn't run here.
func (g *Group) Member(id topology.TargetID) *Member {
	for _, m := range g.members {
		if m.target.ID == id {
			return m
		}
	}
	return nil
}

// Members returns the members that run here.
func (g *Group) Members() []*Member { return g.members }

// Targets returns the addresses of the members that run here.
func (g *Group) Targets() []platform.Target {
	var targets []platform.Target
	for _, m := range g.members {
		targets = append(targets, m.target)
	}
	return targets
}

// Primary returns the primary of the highest term among the members that run
// here, or nil.
func (g *Group) Primary() *Member {
	var primary *Member
	var highest topology.Term
	for _, m := range g.members {
		status, _ := m.database.Status(context.Background())
		if m.running() && status.Role == topology.RolePrimary && status.Term >= highest {
			primary, highest = m, status.Term
		}
	}
	return primary
}

// Close stops every member and waits for its goroutines.
func (g *Group) Close() {
	for _, m := range g.members {
		m.Kill()
	}
}
