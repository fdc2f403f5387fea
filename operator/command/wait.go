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

// pollInterval is the interval at which daemons are polled for their revision.
const pollInterval = 200 * time.Millisecond

// notInForceError reports daemons on which a change did not come into force in time.
// The change itself has been written.
type notInForceError struct {
	revision store.Revision
	// daemons holds admin addresses.
	daemons []string
}

// Error states the revision and the daemons.
func (e *notInForceError) Error() string {
	return fmt.Sprintf("written, but revision %d is not in force on %s", e.revision, strings.Join(e.daemons, ", "))
}

// printAndAwait prints the results of changes and waits until they are in force on the
// daemons with the given admin addresses.
func (inv *invocation) printAndAwait(ctx context.Context, results []change.Result, admins []string) error {
	if err := inv.printChanges(results); err != nil {
		return err
	}
	var latest store.Revision
	for _, result := range results {
		latest = max(latest, result.Revision)
	}
	return inv.awaitRevision(ctx, latest, admins)
}

// awaitRevision polls the daemons until the revision is in force on all of them. When
// the context is done first, it returns a notInForceError.
func (inv *invocation) awaitRevision(ctx context.Context, revision store.Revision, admins []string) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	behindCount := -1
	for {
		behind := daemonsBehind(fleet.FetchStatuses(ctx, admins), revision)
		if len(behind) == 0 {
			return nil
		}
		if len(behind) != behindCount {
			behindCount = len(behind)
			inv.printProgress("in force on %d of %d daemons", len(admins)-behindCount, len(admins))
		}
		select {
		case <-ctx.Done():
			return &notInForceError{revision: revision, daemons: behind}
		case <-ticker.C:
		}
	}
}

// daemonsBehind returns the addresses of the daemons that have not reached a revision or
// did not respond.
func daemonsBehind(daemons []fleet.Daemon, revision store.Revision) []string {
	var behind []string
	for _, daemon := range daemons {
		if daemon.Status == nil || daemon.Status.Configuration.Revision < revision {
			behind = append(behind, daemon.Address)
		}
	}
	return behind
}
