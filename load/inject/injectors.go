package inject

import (
	"context"
	"slices"

	"github.com/rotisserie/eris"

	"samphirehitch.example/samphirehitch/load/oracle"
	"samphirehitch.example/samphirehitch/process/store/memstore"
	"samphirehitch.example/samphirehitch/process/topology"
	"samphirehitch.example/samphirehitch/standin/admin"
	"samphirehitch.example/samphirehitch/standin/group"
)

// Operator changes keys and daemons, which only whoever runs the deployment can.
type Operator interface {
	SetKeyWithdrawn(ctx context.Context, customer int, withdrawn bool) error
	StopDaemon(ctx context.Context, daemon int, drain bool) error
	StartDaemon(ctx context.Context, daemon int) error
}

// errNoOperator is the error of a step that needs an Operator when there is none.
var errNoOperator = eris.New("keys and daemons cannot be changed: the deployment has no operator")

// NoOperator is an Operator for deployments whose keys and daemons cannot be changed.
// Every method returns an error.
type NoOperator struct{}

// SetKeyWithdrawn implements Operator.
func (NoOperator) SetKeyWithdrawn(context.Context, int, bool) error { return errNoOperator }

// StopDaemon implements Operator.
func (NoOperator) StopDaemon(context.Context, int, bool) error { return errNoOperator }

// StartDaemon implements Operator.
func (NoOperator) StartDaemon(context.Context, int) error { return errNoOperator }

// Local applies faults to stand-ins in this process. It implements Injector.
type Local struct {
	Operator
	// Groups holds one group for each service.
	Groups []*group.Group
	// Store may be nil; setting its faults is then an error.
	Store *memstore.Store
}

func (l Local) member(service int, target topology.TargetID) (*group.Member, error) {
	if service < 0 || service >= len(l.Groups) {
		return nil, eris.Errorf("no service with index %d", service)
	}
	m := l.Groups[service].Member(target)
	if m == nil {
		return nil, eris.Errorf("service %d has no target %q", service, target)
	}
	return m, nil
}

// Primary implements Injector.
func (l Local) Primary(_ context.Context, service int) (topology.TargetID, error) {
	if service < 0 || service >= len(l.Groups) || l.Groups[service].Primary() == nil {
		return "", eris.Errorf("service %d has no primary", service)
	}
	return l.Groups[service].Primary().Target().ID, nil
}

// SetMemberFaults implements Injector.
func (l Local) SetMemberFaults(_ context.Context, service int, target topology.TargetID, faults group.Faults) error {
	m, err := l.member(service, target)
	if err != nil {
		return err
	}
	m.SetFaults(faults)
	return nil
}

// KillMember implements Injector.
func (l Local) KillMember(_ context.Context, service int, target topology.TargetID) error {
	m, err := l.member(service, target)
	if err != nil {
		return err
	}
	m.Kill()
	return nil
}

// RestartMember implements Injector.
func (l Local) RestartMember(_ context.Context, service int, target topology.TargetID) error {
	m, err := l.member(service, target)
	if err != nil {
		return err
	}
	return m.Restart()
}

// SetStoreFaults implements Injector.
func (l Local) SetStoreFaults(_ context.Context, faults memstore.Faults) error {
	if l.Store == nil {
		return eris.New("the deployment has no stand-in store")
	}
	l.Store.SetFaults(faults)
	return nil
}

// CheckKeyLeaks returns a violation for each startup parameter with which a target
// received one of the keys' names or secrets. Callers present them to daemons only.
func (l Local) CheckKeyLeaks(keys []string) []oracle.Violation {
	var violations []oracle.Violation
	for _, g := range l.Groups {
		for _, m := range g.Members() {
			for _, value := range m.AllStartupParameterValues() {
				if slices.Contains(keys, value) {
					detail := "target " + string(m.Target().ID) + " received a caller's key"
					violations = append(violations, oracle.Violation{Rule: oracle.RuleKeyLeak, Detail: detail})
				}
			}
		}
	}
	return violations
}

// Remote applies faults to stand-ins in other processes through their admin
// addresses. It implements Injector.
type Remote struct {
	Operator
	// Groups holds one admin client for each service.
	Groups []*admin.GroupClient
	// Store may be nil; setting its faults is then an error.
	Store *admin.StoreClient
}

func (r Remote) group(service int) (*admin.GroupClient, error) {
	if service < 0 || service >= len(r.Groups) {
		return nil, eris.Errorf("no service with index %d", service)
	}
	return r.Groups[service], nil
}

// Primary implements Injector. A replaced primary may still report its role, so that the
// primary of the highest term is returned.
func (r Remote) Primary(ctx context.Context, service int) (topology.TargetID, error) {
	g, err := r.group(service)
	if err != nil {
		return "", err
	}
	members, err := g.Members(ctx)
	if err != nil {
		return "", err
	}
	var primary topology.Status
	for _, m := range members {
		if m.Status.Role == topology.RolePrimary && m.Status.Term >= primary.Term {
			primary = m.Status
		}
	}
	if primary.Target == "" {
		return "", eris.Errorf("service %d has no primary", service)
	}
	return primary.Target, nil
}

// SetMemberFaults implements Injector.
func (r Remote) SetMemberFaults(ctx context.Context, service int, target topology.TargetID, faults group.Faults) error {
	g, err := r.group(service)
	if err != nil {
		return err
	}
	return g.SetFaults(ctx, target, faults)
}

// KillMember implements Injector.
func (r Remote) KillMember(ctx context.Context, service int, target topology.TargetID) error {
	g, err := r.group(service)
	if err != nil {
		return err
	}
	return g.Kill(ctx, target)
}

// RestartMember implements Injector.
func (r Remote) RestartMember(ctx context.Context, service int, target topology.TargetID) error {
	g, err := r.group(service)
	if err != nil {
		return err
	}
	return g.Restart(ctx, target)
}

// SetStoreFaults implements Injector.
func (r Remote) SetStoreFaults(ctx context.Context, faults memstore.Faults) error {
	if r.Store == nil {
		return eris.New("the deployment has no stand-in store")
	}
	return r.Store.SetFaults(ctx, faults)
}
