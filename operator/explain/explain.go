// Package explain explains how a caller's statement would be routed or why it would be
// refused. It evaluates the configuration records and, optionally, the status of a
// daemon with the decision functions that daemons use, and sends nothing to targets.
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

// Request is the statement of a caller that is to be explained.
type Request struct {
	// Database is the name that the caller connects to.
	Database string
	// Key is the caller's key, or empty for a caller without one.
	Key topology.KeyID
	// Statement is the SQL text.
	Statement string
}

// Step is one decision about a statement.
type Step struct {
	// Subject is what was decided on: route, key, limit, service, statement or target.
	Subject string `json:"subject"`
	// Finding is the decision with its reason.
	Finding string `json:"finding"`
}

// Explanation lists the decisions about a statement in the order in which a daemon makes
// them. It ends with the choice of a target or with a refusal.
type Explanation struct {
	Steps   []Step `json:"steps"`
	Refused bool   `json:"refused"`
	// Target is the target that the daemon would choose. It is empty when the status of
	// no daemon was given or the daemon would choose none.
	Target topology.TargetID `json:"target,omitempty"`
}

func (e *Explanation) addStep(subject, format string, args ...any) {
	e.Steps = append(e.Steps, Step{Subject: subject, Finding: fmt.Sprintf(format, args...)})
}

// addRefusal adds the last step of a refused statement.
func (e *Explanation) addRefusal(subject, format string, args ...any) *Explanation {
	e.addStep(subject, format, args...)
	e.Refused = true
	return e
}

// Explain explains a request by the records in force. The choice of a target needs the
// status of a daemon, which may be nil.
func Explain(records *snapshot.Snapshot, request Request, daemon *status.Daemon) *Explanation {
	explanation := &Explanation{}
	routeRecord, ok := records.Route(request.Database)
	if !ok {
		return explanation.addRefusal("route", "no route record for database %q is in force: refused with 3D000, not run", request.Database)
	}
	explanation.addStep("route", "database %q goes to service %s, access %s", request.Database, routeRecord.Service, routeRecord.Access)
	customer, ok := explanation.findCustomer(records, routeRecord, request.Key)
	if !ok {
		return explanation
	}
	explanation.describeLimit(records, customer)
	service, ok := records.Service(routeRecord.Service)
	if !ok {
		return explanation.addRefusal("service", "service %s is not in force", routeRecord.Service)
	}
	explanation.addStep("service", "database %q on %d targets, %d connections to each from the whole fleet", service.Database, len(service.Targets), service.Connections)
	statement := classify.Scan(request.Statement)
	if statement.Kind == classify.KindUnsupported {
		return explanation.addRefusal("statement", "needs %s, which transaction pooling does not support: refused with 0A000, not run", statement.Feature)
	}
	explanation.chooseTarget(service, routeRecord, statement.Kind == classify.KindRead, daemon)
	return explanation
}

// findCustomer determines the customer on whose behalf the statement runs. It returns
// false after adding a refusal.
func (e *Explanation) findCustomer(records *snapshot.Snapshot, routeRecord record.Route, id topology.KeyID) (topology.CustomerID, bool) {
	if id == "" {
		if routeRecord.Access != record.AccessOpen {
			e.addRefusal("key", "the route is keyed and no key was given: refused with 28000, not run")
			return "", false
		}
		e.addStep("key", "the route is open: counts against customer %s", routeRecord.OpenCustomer)
		return routeRecord.OpenCustomer, true
	}
	key, ok := records.Key(id)
	switch {
	case !ok:
		e.addRefusal("key", "no key record %s is in force: refused with 28P01, not run", id)
	case key.Withdrawn:
		e.addRefusal("key", "key %s of customer %s is withdrawn: refused with 28000, not run", id, key.Customer)
	case !records.Allows(routeRecord.Database, key.Customer):
		e.addRefusal("key", "customer %s is not on the route's list: refused with 28000, not run", key.Customer)
	default:
		e.addStep("key", "key %s belongs to customer %s, which may use the route", id, key.Customer)
		return key.Customer, true
	}
	return "", false
}

// describeLimit adds the customer's rate limit. Whether the customer has exceeded it is
// not known.
func (e *Explanation) describeLimit(records *snapshot.Snapshot, customer topology.CustomerID) {
	for _, limit := range records.Limits() {
		if limit.Customer == customer {
			e.addStep("limit", "%g requests a second with a burst of %g over the whole fleet", limit.Rate, limit.Burst)
			return
		}
	}
	e.addStep("limit", "no limit record for customer %s is in force", customer)
}

// chooseTarget adds whether the statement needs the primary and, given the status of a
// daemon, the target that the daemon would choose.
func (e *Explanation) chooseTarget(service record.Service, routeRecord record.Route, isRead bool, daemon *status.Daemon) {
	if !isRead {
		e.addStep("statement", "not known to be a read: runs on the primary")
	} else if routeRecord.MaxAgeMillis > 0 {
		e.addStep("statement", "a read of data up to %d ms old: runs on a replica of that age and at the session's floor, else on the primary", routeRecord.MaxAgeMillis)
	} else {
		e.addStep("statement", "a read: runs on a replica that has replayed the session's floor, else on the primary")
	}
	if daemon == nil {
		e.addStep("target", "depends on the view of a daemon; give its address with --admin")
		return
	}
	view := groupView(service, daemon)
	if view == nil {
		e.addStep("target", "daemon %s does not show service %s", daemon.Instance, service.ID)
		return
	}
	requirements := &route.Requirements{Floor: latestPoint(view), OwnDomain: daemon.FailureDomain}
	decision := route.Decision{}
	if isRead {
		decision = route.ChooseReplica(view, requirements, noneInFlight{})
	}
	if decision.Target == nil {
		decision = route.ChoosePrimary(view, requirements)
	}
	if decision.Target == nil {
		e.addRefusal("target", "daemon %s: %s: waits for a promotion, then is refused", daemon.Instance, decision.Reason)
		return
	}
	e.Target = decision.Target.ID
	e.addStep("target", "daemon %s would choose %s at floor %s: %s", daemon.Instance, e.Target, requirements.Floor, decision.Reason)
}

// noneInFlight is the load for the choice of a replica: no requests in flight.
type noneInFlight struct{}

func (noneInFlight) InFlight(topology.TargetID) int { return 0 }

// groupView converts the status of a daemon to its view of a service's group. It returns
// nil when the status does not include the service.
func groupView(service record.Service, daemon *status.Daemon) *group.View {
	for _, reported := range daemon.Services {
		if reported.Service != service.ID {
			continue
		}
		view := &group.View{Service: service.ID, Primary: reported.Primary, Term: reported.Term}
		for _, target := range reported.Targets {
			view.Targets = append(view.Targets, targetView(service, target))
		}
		return view
	}
	return nil
}

// targetView converts the status of a target. Its address and failure domain come from
// the service record, which a status does not include.
func targetView(service record.Service, reported status.Target) group.TargetView {
	view := group.TargetView{
		Target: platform.Target{ID: reported.Target}, Known: reported.Role != "unknown",
		Reachable: reported.Reachable, Leaving: reported.Leaving,
	}
	view.Status = topology.Status{Target: reported.Target, Role: topology.RoleReplica, Received: reported.Received, Replayed: reported.Replayed}
	if reported.Role == topology.RolePrimary.String() {
		view.Status.Role = topology.RolePrimary
	}
	for _, target := range service.Targets {
		if target.ID == reported.Target {
			view.Target = target.Target
		}
	}
	return view
}

// latestPoint returns the highest point that a target has received. Every acknowledged
// write lies at or below it, so it is the floor of a session that begins now.
func latestPoint(view *group.View) topology.Point {
	var point topology.Point
	for _, target := range view.Targets {
		point = topology.MaxPoint(point, target.Status.Received)
	}
	return point
}
