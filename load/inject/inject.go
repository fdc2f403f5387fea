// Package inject applies a script of faults during a run: at given times it sets
// faults of stand-ins, kills and restarts them, withdraws keys and stops daemons.
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

// Action is what a step of a script does.
type Action string

// Actions, as scripts name them.
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

// Placeholders for the target of a step: the service's primary at the time of the
// step, and the target of the service's preceding step that names one.
const (
	CurrentPrimary topology.TargetID = "primary"
	PreviousTarget topology.TargetID = "same"
)

// Step is one fault or repair. Each action uses only the fields that it needs;
// Service, Customer and Daemon are indexes from 0. Faults replace those set before,
// so that zero faults are a repair.
type Step struct {
	// AtMillis is the time since the start of the load.
	AtMillis     int64             `json:"at_millis"`
	Action       Action            `json:"action"`
	Service      int               `json:"service,omitempty"`
	Target       topology.TargetID `json:"target,omitempty"`
	MemberFaults group.Faults      `json:"faults,omitzero"`
	StoreFaults  memstore.Faults   `json:"store,omitzero"`
	Customer     int               `json:"customer,omitempty"`
	Daemon       int               `json:"daemon,omitempty"`
}

// String describes the step in reports and logs.
func (s Step) String() string {
	switch s.Action {
	case MemberFaults:
		return fmt.Sprintf("%s service %d %s %+v", s.Action, s.Service, s.Target, s.MemberFaults)
	case MemberKill, MemberRestart:
		return fmt.Sprintf("%s service %d %s", s.Action, s.Service, s.Target)
	case StoreFaults:
		return fmt.Sprintf("%s %+v", s.Action, s.StoreFaults)
	case KeyWithdraw, KeyRestore:
		return fmt.Sprintf("%s customer %d", s.Action, s.Customer)
	default:
		return fmt.Sprintf("%s %d", s.Action, s.Daemon)
	}
}

// Script is a list of steps, in any order.
type Script struct {
	Steps []Step `json:"steps"`
}

// ReadScript decodes a script from JSON. Unknown fields are errors.
func ReadScript(r io.Reader) (Script, error) {
	var script Script
	decoder := json.NewDecoder(r)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&script); err != nil {
		return Script{}, eris.Wrap(err, "decode the fault script")
	}
	return script, nil
}

// Injector applies faults to a deployment. Services, customers and daemons are
// given by index, from 0. StopDaemon may run concurrently with the other methods and
// with itself.
type Injector interface {
	// Primary returns the current primary of a service.
	Primary(ctx context.Context, service int) (topology.TargetID, error)
	SetMemberFaults(ctx context.Context, service int, target topology.TargetID, faults group.Faults) error
	KillMember(ctx context.Context, service int, target topology.TargetID) error
	RestartMember(ctx context.Context, service int, target topology.TargetID) error
	SetStoreFaults(ctx context.Context, faults memstore.Faults) error
	SetKeyWithdrawn(ctx context.Context, customer int, withdrawn bool) error
	// StopDaemon stops a daemon, immediately or after draining it, and returns when
	// it has stopped.
	StopDaemon(ctx context.Context, daemon int, drain bool) error
	StartDaemon(ctx context.Context, daemon int) error
}

// ScriptRunner applies a script once.
type ScriptRunner struct {
	injector Injector
	steps    []Step
	// lastTargets holds, by service, the target of the latest step that named one.
	lastTargets map[int]topology.TargetID
}

// NewScriptRunner returns a runner that applies the script's steps in the order of
// their times.
func NewScriptRunner(script Script, injector Injector) *ScriptRunner {
	steps := slices.Clone(script.Steps)
	slices.SortStableFunc(steps, func(a, b Step) int { return int(a.AtMillis - b.AtMillis) })
	return &ScriptRunner{injector: injector, steps: steps, lastTargets: make(map[int]topology.TargetID)}
}

// Run applies each step once waitUntil has returned for its time, and passes the step
// and its error to onStep. Daemons are stopped in the background, because draining a
// daemon may itself need the repair in a later step; onStep must therefore be safe for
// concurrent use. Run returns when the script is finished or waitUntil returns an
// error, and waits for all steps that it has begun.
func (r *ScriptRunner) Run(ctx context.Context, waitUntil func(at time.Duration) error, onStep func(Step, error)) {
	var stops sync.WaitGroup
	defer stops.Wait()
	for _, step := range r.steps {
		if waitUntil(time.Duration(step.AtMillis)*time.Millisecond) != nil {
			return
		}
		if err := r.resolveTarget(ctx, &step); err != nil {
			onStep(step, err)
			continue
		}
		if step.stopsDaemon() {
			stops.Go(func() { onStep(step, r.apply(ctx, step)) })
			continue
		}
		onStep(step, r.apply(ctx, step))
	}
}

func (s Step) stopsDaemon() bool { return s.Action == DaemonKill || s.Action == DaemonDrain }

func (r *ScriptRunner) apply(ctx context.Context, step Step) error {
	switch step.Action {
	case MemberFaults:
		return r.injector.SetMemberFaults(ctx, step.Service, step.Target, step.MemberFaults)
	case MemberKill:
		return r.injector.KillMember(ctx, step.Service, step.Target)
	case MemberRestart:
		return r.injector.RestartMember(ctx, step.Service, step.Target)
	case StoreFaults:
		return r.injector.SetStoreFaults(ctx, step.StoreFaults)
	case KeyWithdraw, KeyRestore:
		return r.injector.SetKeyWithdrawn(ctx, step.Customer, step.Action == KeyWithdraw)
	case DaemonKill, DaemonDrain:
		return r.injector.StopDaemon(ctx, step.Daemon, step.Action == DaemonDrain)
	case DaemonStart:
		return r.injector.StartDaemon(ctx, step.Daemon)
	default:
		return eris.Errorf("unknown action %q", step.Action)
	}
}

// resolveTarget replaces a placeholder by the target's ID and stores the target as the
// service's latest.
func (r *ScriptRunner) resolveTarget(ctx context.Context, step *Step) error {
	switch step.Target {
	case "":
		return nil
	case PreviousTarget:
		step.Target = r.lastTargets[step.Service]
	case CurrentPrimary:
		target, err := r.injector.Primary(ctx, step.Service)
		if err != nil {
			return err
		}
		step.Target = target
	}
	r.lastTargets[step.Service] = step.Target
	return nil
}
