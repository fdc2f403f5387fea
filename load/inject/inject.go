// Package inject carries out a script of failures during a run: at stated times
// it makes stand-ins fail, withdraws keys and stops daemons.
package inject

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"samphirehitch.example/samphirehitch/process/store/memstore"
	"samphirehitch.example/samphirehitch/process/topology"
	"samphirehitch.example/samphirehitch/standin/group"
)

// Action is a kind of step.
type Action string

// Actions.
const (
	MemberFaults  Action = "member_faults"
	MemberKill    Action = "member_kill"
	MemberRestart Action = "member_restart"
	StoreFaults   Action = "store_faults"
	KeyWithdraw   Action = "key_withdraw"
	KeyRestore    Action = "key_restore"
	DaemonKill    Action = "daemon_kill"
	DaemonDrain   Action = "daemon_drain"
	DaemonStart   Action = "daemon_start"
)

// Primary in place of a target means the primary at the time of the step. Same
// means the target that the service's latest step acted on.
const (
	Primary topology.TargetID = "primary"
	Same    topology.TargetID = "same"
)

// Step is one failure or repair.
type Step struct {
	AtMillis int64             `json:"at_millis"`
	Action   Action            `json:"action"`
	Service  int               `json:"service,omitempty"`
	Target   topology.TargetID `json:"target,omitempty"`
	Faults   group.Faults      `json:"faults,omitzero"`
	Store    memstore.Faults   `json:"store,omitzero"`
	Customer int               `json:"customer,omitempty"`
	Daemon   int               `json:"daemon,omitempty"`
}

// String describes the step.
func (s Step) String() string {
	switch s.Action {
	case MemberFaults:
		return fmt.Sprintf("%s service %d %s %+v", s.Action, s.Service, s.Target, s.Faults)
	case MemberKill, MemberRestart:
		return fmt.Sprintf("%s service %d %s", s.Action, s.Service, s.Target)
	case StoreFaults:
		return fmt.Sprintf("%s %+v", s.Action, s.Store)
	case KeyWithdraw, KeyRestore:
		return fmt.Sprintf("%s customer %d", s.Action, s.Customer)
	default:
		return fmt.Sprintf("%s %d", s.Action, s.Daemon)
	}
}

// Script is a list of steps.
type Script struct {
	Steps []Step `json:"steps"`
}

// Read reads a script in JSON. Unknown fields are errors.
func Read(r io.Reader) (Script, error) {
	var script Script
	decoder := json.NewDecoder(r)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&script); err != nil {
		return Script{}, eris.Wrap(err, "read the script of failures")
	}
	return script, nil
}

// Injector makes parts of a deployment fail. Services, customers and daemons go
// by their number, from 0.
type Injector interface {
	// Primary names the primary of a service.
	Primary(ctx context.Context, service int) (topology.TargetID, error)
	SetMemberFaults(ctx context.Context, service int, target topology.TargetID, faults group.Faults) error
	KillMember(ctx context.Context, service int, target topology.TargetID) error
	RestartMember(ctx context.Context, service int, target topology.TargetID) error
	SetStoreFaults(ctx context.Context, faults memstore.Faults) error
	SetKeyWithdrawn(ctx context.Context, customer int, withdrawn bool) error
	// StopDaemon stops a daemon at once, or after it has drained.
	StopDaemon(ctx context.Context, daemon int, drain bool) error
	StartDaemon(ctx context.Context, daemon int) error
}

// Player carries out a script.
type Player struct {
	injector Injector
	steps    []Step
	// acted is the target of each service's latest step.
	acted map[int]topology.TargetID
}

// NewPlayer returns a player of the script's steps in the order of their times.
func NewPlayer(script Script, injector Injector) *Player {
	steps := slices.Clone(script.Steps)
	slices.SortStableFunc(steps, func(a, b Step) int { return int(a.AtMillis - b.AtMillis) })
	return &Player{injector: injector, steps: steps, acted: make(map[int]topology.TargetID)}
}

// Play carries out each step when wait has returned for its time, and tells done
// about it. Later steps don't wait for a daemon to stop, which may itself wait
// for their repairs; done is called from several goroutines. Play ends with the
// script or when wait returns an error, after every step that it began.
func (p *Player) Play(ctx context.Context, wait func(at time.Duration) error, done func(Step, error)) {
	var stops sync.WaitGroup
	defer stops.Wait()
	for _, step := range p.steps {
		if wait(time.Duration(step.AtMillis)*time.Millisecond) != nil {
			return
		}
		if err := p.resolve(ctx, &step); err != nil {
			done(step, err)
			continue
		}
		if step.stopsDaemon() {
			stops.Go(func() { done(step, p.act(ctx, step)) })
			continue
		}
		done(step, p.act(ctx, step))
	}
}

func (s Step) stopsDaemon() bool { return s.Action == DaemonKill || s.Action == DaemonDrain }

func (p *Player) act(ctx context.Context, step Step) error {
	switch step.Action {
	case MemberFaults:
		return p.injector.SetMemberFaults(ctx, step.Service, step.Target, step.Faults)
	case MemberKill:
		return p.injector.KillMember(ctx, step.Service, step.Target)
	case MemberRestart:
		return p.injector.RestartMember(ctx, step.Service, step.Target)
	case StoreFaults:
		return p.injector.SetStoreFaults(ctx, step.Store)
	case KeyWithdraw, KeyRestore:
		return p.injector.SetKeyWithdrawn(ctx, step.Customer, step.Action == KeyWithdraw)
	case DaemonKill, DaemonDrain:
		return p.injector.StopDaemon(ctx, step.Daemon, step.Action == DaemonDrain)
	case DaemonStart:
		return p.injector.StartDaemon(ctx, step.Daemon)
	default:
		return eris.Errorf("unknown action %q", step.Action)
	}
}

// resolve replaces Primary and Same by the target's name.
func (p *Player) resolve(ctx context.Context, step *Step) error {
	switch step.Target {
	case "":
		return nil
	case Same:
		step.Target = p.acted[step.Service]
	case Primary:
		target, err := p.injector.Primary(ctx, step.Service)
		if err != nil {
			return err
		}
		step.Target = target
	}
	p.acted[step.Service] = step.Target
	return nil
}
