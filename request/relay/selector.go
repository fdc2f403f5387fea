package relay

import (
	"slices"
	"time"

	"samphirehitch.example/samphirehitch/connection/client"
	"samphirehitch.example/samphirehitch/process/statement"
	"samphirehitch.example/samphirehitch/process/topology"
	"samphirehitch.example/samphirehitch/request/engine"
)

const (
	// maxFailedInstances bounds the instances that decline an operation or do not
	// respond to it.
	maxFailedInstances = 3
	// primaryWaitTimeout is how long an operation waits until some instance can use the
	// primary: until a late renewal, or a new owner's first confirmation.
	primaryWaitTimeout = 400 * time.Millisecond
	// primaryRetryInterval is the delay before all instances are tried again.
	primaryRetryInterval = 50 * time.Millisecond
)

// instanceSelector chooses the instances at which one operation is tried.
type instanceSelector struct {
	relay *Relay
	route engine.RouteInfo
	// statement is the statement to run, for the log.
	statement statement.Statement
	// excluded instances declined the operation or did not respond; withoutPrimary
	// ones could not use the primary and are tried again until the deadline.
	excluded, withoutPrimary []topology.InstanceID
	// notOwners declined the operation because they do not know that they own the service, or have
	// no connection free as backup owners. They are tried again, to run it all the same, when no
	// other instance is left; insists is set then.
	notOwners []topology.InstanceID
	insists   bool
	deadline  time.Duration
}

func (r *Relay) newSelector(route engine.RouteInfo, st statement.Statement) *instanceSelector {
	return &instanceSelector{relay: r, route: route, statement: st, deadline: r.Clock() + primaryWaitTimeout}
}

// next returns the instance for the next attempt, which may be this one, or false when
// no instance is left. While the only obstacle is that no instance can use the primary,
// it waits and tries all of them again. Writes says that the operation is a write or
// opens a transaction for writes.
func (s *instanceSelector) next(session *client.Session, writes bool) (topology.InstanceID, bool) {
	for len(s.excluded) < maxFailedInstances {
		to, ok := s.choose()
		switch {
		case ok && to == s.relay.Self && !s.relay.Engine.CanRun(session, writes):
			s.withoutPrimary = append(s.withoutPrimary, to)
		case ok && to == s.relay.Self && !s.insists && s.relay.server.leavesToOwners(session, writes):
			s.notOwners = append(s.notOwners, to)
		case ok:
			return to, true
		case len(s.notOwners) > 0:
			s.notOwners, s.insists = nil, true
		case len(s.withoutPrimary) == 0 || s.relay.Clock() >= s.deadline:
			return "", false
		default:
			s.withoutPrimary = nil
			time.Sleep(primaryRetryInterval)
		}
	}
	return "", false
}

func (s *instanceSelector) choose() (topology.InstanceID, bool) {
	if len(s.withoutPrimary) == 0 && len(s.notOwners) == 0 {
		return s.relay.awaitInstance(s.route.Service, s.route.Customer, s.excluded)
	}
	return s.relay.choose(s.route.Service, s.route.Customer, slices.Concat(s.excluded, s.withoutPrimary, s.notOwners))
}

// prepare completes a request to the chosen instance.
func (s *instanceSelector) prepare(req *forwardRequest) *forwardRequest {
	req.DeclineUnlessOwner = !s.insists
	return req
}

// recordFailure records and logs that an instance did not run the operation.
func (s *instanceSelector) recordFailure(instance topology.InstanceID, outcome forwardOutcome) {
	s.relay.OnRoutingOutdated()
	eventForwardFailed.Log(s.relay.Log, "request", s.statement.ID, "home", instance, "kind", s.statement.Kind.String(),
		"service", s.route.Service, "customer", s.route.Customer, "outcome", outcome.String())
	switch outcome {
	case outcomeNoPrimary:
		s.withoutPrimary = append(s.withoutPrimary, instance)
	case outcomeNotOwner:
		s.notOwners = append(s.notOwners, instance)
	default:
		s.excluded = append(s.excluded, instance)
	}
}
