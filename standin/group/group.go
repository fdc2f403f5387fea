// Package group emulates a database group: members that serve the PostgreSQL
// protocol on a data address and the platform's control interface on a control
// address, with asynchronous replication from the primary to the other members.
//
// The group never promotes a member on its own, apart from the first primary;
// promotions arrive through the control interface. Faults can be injected into
// each member while it runs. Tests and the demo run a group within their own
// process, and the program samphirehitch-standin serves one to other processes.
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

// Config configures a Group. Settings other than the lists of members and
// FirstPrimary apply to each member separately.
type Config struct {
	// Members are the members that run in this process. An empty address means a
	// free port on 127.0.0.1.
	Members []platform.Target
	// Remote are the members that run in other processes. A primary here sends
	// them its log at their control addresses.
	Remote []platform.Target
	// FirstPrimary is the member to promote at term 1. Nothing is promoted when it
	// is empty or does not run in this process.
	FirstPrimary topology.TargetID
	// Slots bounds the statements that a member runs concurrently. Zero means no
	// bound.
	Slots int
	// MaxConnections bounds the open sessions of a member; further ones are refused
	// with SQLSTATE 53300. Zero means no bound.
	MaxConnections int
	// ConnectCost is added to the time in which a session logs in.
	ConnectCost time.Duration
	// ServiceTime is added to the time in which a statement runs and holds its
	// slot.
	ServiceTime time.Duration
	// User and Password are the login that sessions must give. An empty password
	// admits every login without authentication.
	User     string
	Password string
	// SCRAM authenticates by SCRAM-SHA-256 instead of a password in clear text.
	SCRAM bool
	// TLS encrypts the sessions that request it. Nil refuses encryption.
	TLS *tls.Config
	// ReuseTransactionIDs is passed on to database.Config.
	ReuseTransactionIDs bool
	// Clock times the receive lag and the replay lag. Nil means the system's
	// clock.
	Clock clock.Clock
	// Log receives the members' events. The zero value discards them.
	Log logr.Logger
}

// Group holds the members of one database group that run in this process.
type Group struct {
	members []*Member
}

// Start starts the members of cfg and promotes the first primary. The group must
// be closed after use.
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
	if err := g.promoteFirstPrimary(cfg.FirstPrimary); err != nil {
		g.Close()
		return nil, err
	}
	return g, nil
}

// NewTargets returns n members for Config.Members, with IDs from prefix-1 to
// prefix-n and the failure domains assigned in turn. Their addresses are empty.
func NewTargets(prefix string, n int, domains ...topology.FailureDomain) []platform.Target {
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

func (g *Group) promoteFirstPrimary(id topology.TargetID) error {
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

// Member returns the member with the given ID, or nil when it does not run in this
// process.
func (g *Group) Member(id topology.TargetID) *Member {
	for _, m := range g.members {
		if m.target.ID == id {
			return m
		}
	}
	return nil
}

// Members returns the members that run in this process, also those that are
// killed.
func (g *Group) Members() []*Member { return g.members }

// Targets returns the IDs and addresses of the members that run in this process.
func (g *Group) Targets() []platform.Target {
	var targets []platform.Target
	for _, m := range g.members {
		targets = append(targets, m.target)
	}
	return targets
}

// Primary returns the primary of the highest term in this process, or nil when
// no running member is primary. A replaced primary that has not been fenced yet
// still counts itself as primary of a lower term.
func (g *Group) Primary() *Member {
	var primary *Member
	var highest topology.Term
	for _, m := range g.members {
		status, _ := m.database.Status(context.Background())
		if m.isRunning() && status.Role == topology.RolePrimary && status.Term >= highest {
			primary, highest = m, status.Term
		}
	}
	return primary
}

// Close kills every member and waits until its goroutines have returned.
func (g *Group) Close() {
	for _, m := range g.members {
		m.Kill()
	}
}
