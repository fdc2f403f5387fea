package relay

import (
	"slices"
	"time"

	"samphirehitch.example/samphirehitch/connection/client"
	"samphirehitch.example/samphirehitch/process/statement"
	"samphirehitch.example/samphirehitch/process/topology"
	"samphirehitch.example/samphirehitch/request/perform"
)

const (
	// attempts bounds the instances that decline an operation or do not answer it.
	attempts = 3
	// rightPatience is how long an operation waits until some instance can use the
	// primary: a renewal that was late, or a new home's first confirmation.
	rightPatience = 400 * time.Millisecond
	// rightPause is the pause before all are asked again.
	rightPause = 50 * time.Millisecond
)

// search finds an instance for one operation.
type search struct {
	relay *Relay
	place perform.RouteInfo
	// statement is the one to run, for the log.
	statement statement.Statement
	// excluded have declined or not answered, unable ones cannot use the primary.
	excluded, unable []topology.InstanceID
	until            time.Duration
}

func (r *Relay) search(place perform.RouteInfo, st statement.Statement) *search {
	return &search{relay: r, place: place, statement: st, until: r.Clock() + rightPatience}
}

// next returns the instance to try. Changes reports an operation that is no mere
// read. It is not ok when none is left.
func (s *search) next(session *client.Session, changes bool) (topology.InstanceID, bool) {
	for len(s.excluded) < attempts {
		to, ok := s.choose()
		switch {
		case ok && to == s.relay.Self && !s.relay.Engine.CanRun(session, changes):
			s.unable = append(s.unable, to)
		case ok:
			return to, true
		case len(s.unable) == 0 || s.relay.Clock() >= s.until:
			return "", false
		default:
			s.unable = nil
			time.Sleep(rightPause)
		}
	}
	return "", false
}

func (s *search) choose() (topology.InstanceID, bool) {
	if len(s.unable) == 0 {
		return s.relay.place(s.place.Service, s.place.Customer, s.excluded)
	}
	return s.relay.choose(s.place.Service, s.place.Customer, slices.Concat(s.excluded, s.unable))
}

// failed notes that an instance did not run the operation.
func (s *search) failed(at topology.InstanceID, outcome asked) {
	s.relay.OnDeclined()
	eventRelayFailed.Log(s.relay.Log, "request", s.statement.ID, "home", at, "kind", s.statement.Kind.String(),
		"service", s.place.Service, "customer", s.place.Customer, "outcome", outcome.String())
	if outcome == unable {
		s.unable = append(s.unable, at)
		return
	}
	s.excluded = append(s.excluded, at)
}
