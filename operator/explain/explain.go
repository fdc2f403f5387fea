// Package explain says, from the records and optionally a daemon's view, what
// would become of a caller's statement and why. It uses the daemons' own
// decisions and sends nothing to targets.
package explain

import (
	"fmt"

	"samphirehitch.example/samphirehitch/process/group"
	"samphirehitch.example/samphirehitch/process/platform"
	"samphirehitch.example/samphirehitch/process/status"
	"samphirehitch.example/samphirehitch/process/topology"
	"samphirehitch.example/samphirehitch/request/classify"
	"samphirehitch.example/samphirehitch/request/route"
	"samphirehitch.example/samphirehitch/version/record"
	"samphirehitch.example/samphirehitch/version/snapshot"
)

// Question is a caller's statement.
type Question struct {
	// Database is the name that the caller connects to.
	Database string
	// Key is the caller's key, or empty for none.
	Key       topology.KeyID
	Statement string
}

// Step is one step of the way of a statement.
type Step struct {
	Subject string `json:"subject"`
	Finding string `json:"finding"`
}

// Answer is the way of a statement, up to its target or its refusal.
type Answer struct {
	Steps   []Step `json:"steps"`
	Refused bool   `json:"refused"`
	// Target is the target that a daemon would choose, when its view was given.
	Target topology.TargetID `json:"target,omitempty"`
}

func (a *Answer) add(subject, format string, args ...any) {
	a.Steps = append(a.Steps, Step{Subject: subject, Finding: fmt.Sprintf(format, args...)})
}

func (a *Answer) refuse(subject, format string, args ...any) *Answer {
	a.add(subject, format, args...)
	a.Refused = true
	return a
}

// Explain follows a statement through the records and, when status is not nil,
// through a daemon's view of the groups.
func Explain(current *snapshot.Snapshot, question Question, status *status.Daemon) *Answer {
	answer := &Answer{}
	found, ok := current.Route(question.Database)
	if !ok {
		return answer.refuse("route", "no route record for database %q is in force: refused with 3D000, not run", question.Database)
	}
	answer.add("route", "database %q goes to service %s, access %s", question.Database, found.Service, found.Access)
	customer, ok := answer.admit(current, found, question.Key)
	if !ok {
		return answer
	}
	answer.limit(current, customer)
	service, ok := current.Service(found.Service)
	if !ok {
		return answer.refuse("service", "service %s is not in force", found.Service)
	}
	answer.add("service", "database %q on %d targets, %d connections to each from the whole fleet", service.Database, len(service.Targets), service.Connections)
	statement := classify.Scan(question.Statement)
	if statement.Kind == classify.KindUnsupported {
		return answer.refuse("statement", "needs %s, which transaction pooling does not give: refused with 0A000, not run", statement.Feature)
	}
	answer.choose(service, found, statement.Kind == classify.KindRead, status)
	return answer
}

// admit finds the customer on whose behalf the statement runs.
func (a *Answer) admit(current *snapshot.Snapshot, found record.Route, id topology.KeyID) (topology.CustomerID, bool) {
	if id == "" {
		if found.Access != record.AccessOpen {
			a.refuse("key", "the route is keyed and no key was given: refused with 28000, not run")
			return "", false
		}
		a.add("key", "the route is open: counts against customer %s", found.OpenCustomer)
		return found.OpenCustomer, true
	}
	key, ok := current.Key(id)
	switch {
	case !ok:
		a.refuse("key", "no key record %s is in force: refused with 28P01, not run", id)
	case key.Withdrawn:
		a.refuse("key", "key %s of customer %s is withdrawn: refused with 28000, not run", id, key.Customer)
	case !current.Allows(found.Database, key.Customer):
		a.refuse("key", "customer %s is not on the route's list: refused with 28000, not run", key.Customer)
	default:
		a.add("key", "key %s belongs to customer %s, which may use the route", id, key.Customer)
		return key.Customer, true
	}
	return "", false
}

func (a *Answer) limit(current *snapshot.Snapshot, customer topology.CustomerID) {
	for _, limit := range current.Limits() {
		if limit.Customer == customer {
			a.add("limit", "%g requests a second with a burst of %g over the whole fleet", limit.Rate, limit.Burst)
			return
		}
	}
	a.add("limit", "no limit record for customer %s is in force", customer)
}

// choose says where the statement goes.
func (a *Answer) choose(service record.Service, found record.Route, read bool, status *status.Daemon) {
	if !read {
		a.add("statement", "not known to be a read: runs on the primary")
	} else if found.MaxAgeMillis > 0 {
		a.add("statement", "a read of data up to %d ms old: runs on a replica of that age and at the session's floor, else on the primary", found.MaxAgeMillis)
	} else {
		a.add("statement", "a read: runs on a replica that has replayed the session's floor, else on the primary")
	}
	if status == nil {
		a.add("target", "depends on a daemon's view; name one by --admin")
		return
	}
	view := viewOf(service, status)
	if view == nil {
		a.add("target", "daemon %s does not show service %s", status.Instance, service.ID)
		return
	}
	need := &route.Requirements{Floor: latest(view), OwnDomain: status.FailureDomain}
	decision := route.Decision{}
	if read {
		decision = route.ChooseReplica(view, need, idle{})
	}
	if decision.Target == nil {
		decision = route.ChoosePrimary(view, need)
	}
	if decision.Target == nil {
		a.refuse("target", "daemon %s: %s: waits for a promotion, then is refused", status.Instance, decision.Reason)
		return
	}
	a.Target = decision.Target.ID
	a.add("target", "daemon %s would choose %s at floor %s: %s", status.Instance, a.Target, need.Floor, decision.Reason)
}

// idle reports no requests in flight.
type idle struct{}

func (idle) InFlight(topology.TargetID) int { return 0 }

// viewOf rebuilds a daemon's view of a service from its status.
func viewOf(service record.Service, status *status.Daemon) *group.View {
	for _, seen := range status.Services {
		if seen.Service != service.ID {
			continue
		}
		view := &group.View{Service: service.ID, Primary: seen.Primary, Term: seen.Term}
		for _, target := range seen.Targets {
			view.Targets = append(view.Targets, targetView(service, target))
		}
		return view
	}
	return nil
}

func targetView(service record.Service, seen status.Target) group.TargetView {
	view := group.TargetView{
		Target: platform.Target{ID: seen.Target}, Known: seen.Role != "unknown",
		Reachable: seen.Reachable, Leaving: seen.Leaving,
	}
	view.Status = topology.Status{Target: seen.Target, Role: topology.RoleReplica, Received: seen.Received, Replayed: seen.Replayed}
	if seen.Role == topology.RolePrimary.String() {
		view.Status.Role = topology.RolePrimary
	}
	for _, target := range service.Targets {
		if target.ID == seen.Target {
			view.Target = target.Target
		}
	}
	return view
}

// latest is the floor of a session that arrives now: no acknowledged write lies
// beyond it.
func latest(view *group.View) topology.Point {
	var point topology.Point
	for _, target := range view.Targets {
		point = topology.MaxPoint(point, target.Status.Received)
	}
	return point
}
