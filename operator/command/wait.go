package command

import (
	"context"
	"fmt"
	"strings"
	"time"

	"samphirehitch.example/samphirehitch/operator/change"
	"samphirehitch.example/samphirehitch/operator/fleet"
	"samphirehitch.example/samphirehitch/process/store"
)

// pollInterval is the time between two rounds of questions to daemons.
const pollInterval = 200 * time.Millisecond

// notInForceError reports daemons that did not hold a change in time. The change
// is written.
type notInForceError struct {
	revision store.Revision
	daemons  []string
}

// Error names the daemons.
func (e *notInForceError) Error() string {
	return fmt.Sprintf("written, but revision %d is not in force on %s", e.revision, strings.Join(e.daemons, ", "))
}

// finish prints the results and waits until some daemons hold them.
func (s *session) finish(ctx context.Context, results []change.Result, admins []string) error {
	if err := s.results(results); err != nil {
		return err
	}
	var latest store.Revision
	for _, result := range results {
		latest = max(latest, result.Revision)
	}
	return s.awaitRevision(ctx, latest, admins)
}

// awaitRevision asks daemons until each holds a revision or the context ends.
func (s *session) awaitRevision(ctx context.Context, revision store.Revision, admins []string) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	reported := -1
	for {
		behind := missing(fleet.Ask(ctx, admins), revision)
		if len(behind) == 0 {
			return nil
		}
		if len(behind) != reported {
			reported = len(behind)
			s.progress("in force on %d of %d daemons", len(admins)-reported, len(admins))
		}
		select {
		case <-ctx.Done():
			return &notInForceError{revision: revision, daemons: behind}
		case <-ticker.C:
		}
	}
}

// missing returns the addresses of the daemons that do not show a revision.
func missing(daemons []fleet.Daemon, revision store.Revision) []string {
	var behind []string
	for _, daemon := range daemons {
		if daemon.Status == nil || daemon.Status.Configuration.Revision < revision {
			behind = append(behind, daemon.Address)
		}
	}
	return behind
}
