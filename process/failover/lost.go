package failover

import (
	"bytes"
	"encoding/json"
	"errors"
	"net"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"samphirehitch.example/samphirehitch/process/directory"
	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/process/topology"
)

// LossDeclaration is an operator's declaration that databases of a service are gone for good: they do
// not run, and none will run again with its log. A missing entry in the directory does not show
// that: a database that does not reach the store may go on receiving and acknowledging commits.
type LossDeclaration struct {
	// Term is that of the service's record. The declaration has no effect in a later term, so that
	// one of an earlier incident does not speak of a database that has come back since.
	Term topology.Term `json:"term"`
	// Databases are the addresses of the databases.
	Databases []string `json:"databases"`
}

// AcceptedLoss is what was accepted of a declaration. A database that has come back since is not
// lost again by the same declaration.
type AcceptedLoss struct {
	Revision  store.Revision `json:"revision"`
	Databases []string       `json:"databases"`
}

// ErrImpossibleDeclaration reports a declaration of lost databases that cannot hold.
var ErrImpossibleDeclaration = errors.New("declaration of lost databases cannot hold")

// DecodeLossDeclaration parses a declaration's stored form. A misspelt field would leave something
// out that the operator means, so that unknown ones are refused.
func DecodeLossDeclaration(value []byte) (LossDeclaration, error) {
	var d LossDeclaration
	decoder := json.NewDecoder(bytes.NewReader(value))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&d); err != nil {
		return LossDeclaration{}, eris.Wrap(err, "decode declaration of lost databases")
	}
	switch {
	case decoder.More():
		return LossDeclaration{}, eris.Wrap(ErrImpossibleDeclaration, "more than one value")
	case d.Term == 0:
		return LossDeclaration{}, eris.Wrap(ErrImpossibleDeclaration, "no term")
	case len(d.Databases) == 0 || len(d.Databases) > maxNames:
		return LossDeclaration{}, eris.Wrapf(ErrImpossibleDeclaration, "%d databases, not 1 to %d", len(d.Databases), maxNames)
	}
	for i, name := range d.Databases {
		if _, _, err := net.SplitHostPort(name); err != nil {
			return LossDeclaration{}, eris.Wrapf(ErrImpossibleDeclaration, "database %q is not host:port", name)
		}
		if slices.Contains(d.Databases[:i], name) {
			return LossDeclaration{}, eris.Wrapf(ErrImpossibleDeclaration, "database %s is named twice", name)
		}
	}
	return d, nil
}

// acceptLoss returns a record with the databases that are declared lost, but for those that are
// listed. A database that the record does not name can be one that only an earlier version has
// seen, as long as there are such.
func (v View) acceptLoss(r Record) Record {
	if v.SynchronousReplicas == 0 || v.Declared.Term != r.Term {
		return r
	}
	listed := listedDatabases(v.Targets)
	accepted := AcceptedLoss{Revision: v.DeclaredAt}
	if r.Accepted.Revision == v.DeclaredAt {
		accepted = r.Accepted
	}
	for _, name := range withoutNames(withoutNames(v.Declared.Databases, listed), accepted.Databases) {
		if !slices.Contains(r.Names, name) && len(mergeNames(r.Names, listed)) >= v.groupSize() {
			continue
		}
		one := []string{name}
		accepted.Databases = mergeNames(accepted.Databases, one)
		r.Names, r.Lost, r.Accepted = mergeNames(r.Names, one), mergeNames(r.Lost, one), accepted
	}
	return r
}

// remainingDatabases returns the number of databases that are not lost.
func (v View) remainingDatabases() int {
	r := v.recordDatabases(v.Record)
	return max(v.groupSize(), len(r.Names)) - len(r.Lost)
}

// remainderCheckInterval is the least time between two requests for what the databases that are
// not lost hold. Each occupies a slot of every one.
const remainderCheckInterval = time.Second

// remainder is what has to be shown of the databases that are not lost before the others cease to
// count.
type remainder struct {
	// revision is that of the record that names the lost ones. Any change starts over.
	revision store.Revision
	// goal is the end of the primary's log at a time when the record named them, while known.
	goal  topology.Point
	known bool
	// nextCheckAt is when the databases may be asked again.
	nextCheckAt time.Duration
}

// checkRemainder returns the status request to all databases while the record names lost ones.
func (c *Coordinator) checkRemainder(now time.Duration, v View) Action {
	if len(v.Record.Lost) == 0 || now < c.remainder.nextCheckAt {
		return Action{}
	}
	if c.remainder.revision != v.Revision {
		c.remainder = remainder{revision: v.Revision}
	}
	c.remainder.nextCheckAt = now + remainderCheckInterval
	targets := make([]directory.Target, 0, len(v.Targets))
	for _, t := range v.Targets {
		targets = append(targets, t)
	}
	return Action{Kind: RequestStatuses, Targets: targets, Reason: "whether the databases that are left hold all commits"}
}

// releaseLost returns the publication of a record in which lost databases do not count any more,
// once the primary and as many replicas as acknowledge commits hold the primary's log up to its end
// at a time when the others were lost already. Each commit up to there is then held by as many of
// the databases that are left as a commit needs, and each later one too, since a lost database
// acknowledges none.
func (c *Coordinator) releaseLost(v View, statuses map[topology.TargetID]TargetStatus) Action {
	primary, responded := statuses[v.Record.Primary]
	switch {
	case len(v.Record.Lost) == 0 || v.Record.Fenced || c.remainder.revision != v.Revision:
		return Action{}
	case !responded || primary.Role != topology.RolePrimary || primary.Term != v.Record.Term:
		return Action{}
	case !c.remainder.known:
		c.remainder.goal, c.remainder.known = primary.Received, true
	}
	holders := make(map[string]bool)
	for id, status := range statuses {
		if status.Term == v.Record.Term && v.Record.shareOf(status.Received).complete && status.Received.Reaches(c.remainder.goal) {
			holders[database(id, v.Targets[id])] = true
		}
	}
	record := v.recordDatabases(v.Record)
	if len(holders) <= v.SynchronousReplicas || !record.Equal(v.Record) {
		return Action{}
	}
	record.Databases = min(v.groupSize(), v.remainingDatabases())
	record.Names, record.Lost = withoutNames(record.Names, record.Lost), nil
	return Action{Kind: PublishRecord, Record: record, Revision: v.Revision, Reason: "the databases that are left hold all commits"}
}
