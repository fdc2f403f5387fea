package grouptest

import (
	"context"
	"errors"
	"sync"
	"time"

	"samphirehitch.example/samphirehitch/process/platform"
	"samphirehitch.example/samphirehitch/process/topology"
)

// ErrDown is returned for a target that is not a member of the group: it counts as down.
var ErrDown = errors.New("target is down")

// Platform implements platform.Groups for a group, with a latency in real time or in
// the time of a synctest bubble. It is safe for concurrent use.
type Platform struct {
	// Latency is the latency of every call in each direction.
	Latency time.Duration

	mu struct {
		sync.Mutex
		group *Group
		hung  map[topology.TargetID]bool
		calls int
	}
}

var _ platform.Groups = (*Platform)(nil)

// NewPlatform returns a platform for the group. From then on the group may be accessed
// only through WithGroup.
func NewPlatform(group *Group, latency time.Duration) *Platform {
	p := &Platform{Latency: latency}
	p.mu.group = group
	p.mu.hung = make(map[topology.TargetID]bool)
	return p
}

// WithGroup runs f on the group with the platform's lock held.
func (p *Platform) WithGroup(f func(*Group)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f(p.mu.group)
}

// SetHung sets whether a member is hung: it then leaves every call without a response.
func (p *Platform) SetHung(id topology.TargetID, hung bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mu.hung[id] = hung
}

// Calls returns the number of calls that have reached a target.
func (p *Platform) Calls() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mu.calls
}

// Status implements platform.Groups.
func (p *Platform) Status(ctx context.Context, target platform.Target) (topology.Status, error) {
	var status topology.Status
	err := p.call(ctx, target.ID, func(_ *Group, m *Member) error {
		status = m.Status()
		return nil
	})
	return status, err
}

// Fence implements platform.Groups.
func (p *Platform) Fence(ctx context.Context, target platform.Target, term topology.Term) (topology.Status, error) {
	var status topology.Status
	err := p.call(ctx, target.ID, func(g *Group, m *Member) error {
		err := g.Fence(m, term)
		status = m.Status()
		return err
	})
	return status, err
}

// Promote implements platform.Groups.
func (p *Platform) Promote(ctx context.Context, target platform.Target, term topology.Term) (topology.Status, error) {
	var status topology.Status
	err := p.call(ctx, target.ID, func(g *Group, m *Member) error {
		err := g.Promote(m, term)
		status = m.Status()
		return err
	})
	return status, err
}

// TransactionStatus implements platform.Groups.
func (p *Platform) TransactionStatus(ctx context.Context, target platform.Target, transaction uint64) (platform.TransactionReport, error) {
	var report platform.TransactionReport
	err := p.call(ctx, target.ID, func(_ *Group, m *Member) error {
		report = m.TransactionStatus(transaction)
		return nil
	})
	return report, err
}

// call runs f on a member after the latency in one direction and returns its error
// after the latency in the other.
func (p *Platform) call(ctx context.Context, id topology.TargetID, f func(*Group, *Member) error) error {
	if err := wait(ctx, p.Latency); err != nil {
		return err
	}
	if err := p.run(ctx, id, f); err != nil {
		return err
	}
	return wait(ctx, p.Latency)
}

// run runs f on a member with p.mu held. For a hung member it blocks until ctx is done.
func (p *Platform) run(ctx context.Context, id topology.TargetID, f func(*Group, *Member) error) error {
	p.mu.Lock()
	hung := p.mu.hung[id]
	p.mu.Unlock()
	if hung {
		<-ctx.Done()
		return ctx.Err()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mu.calls++
	member := p.mu.group.Member(id)
	if member == nil {
		return ErrDown
	}
	return f(p.mu.group, member)
}

// wait waits for the duration, or returns the context's error if ctx is done first.
func wait(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
