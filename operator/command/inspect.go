package command

import (
	"context"
	"fmt"
	"io"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rotisserie/eris"
	"samphirehitch.example/samphirehitch/operator/change"
	"samphirehitch.example/samphirehitch/operator/explain"
	"samphirehitch.example/samphirehitch/operator/fleet"
	"samphirehitch.example/samphirehitch/process/status"
	"samphirehitch.example/samphirehitch/process/topology"
	"samphirehitch.example/samphirehitch/version/snapshot"
)

func (inv *invocation) addInspectionCommands(ctx context.Context, app *kingpin.Application) {
	statusCommand := app.Command("status", "Show the state of the fleet; exit code 6 when a record is rejected, or a daemon does not respond, is behind or has a configuration that is not fresh.")
	admins := statusCommand.Flag("admin", "Admin address of a daemon, host:port; may be repeated.").Strings()
	statusCommand.Action(inv.storeAction(ctx, func(ctx context.Context) error { return inv.status(ctx, *admins) }))

	explainCommand := app.Command("explain", "Explain where a statement would run, and why; exit code 6 when it would be refused.")
	var request explain.Request
	explainCommand.Flag("database", "Database name that the caller connects to.").Required().StringVar(&request.Database)
	key := explainCommand.Flag("key", "The caller's key; none if left out.").String()
	admin := explainCommand.Flag("admin", "Admin address of the daemon whose view is used, host:port.").String()
	explainCommand.Arg("statement", "The SQL text.").Required().StringVar(&request.Statement)
	explainCommand.Action(inv.storeAction(ctx, func(ctx context.Context) error {
		request.Key = topology.KeyID(*key)
		return inv.explain(ctx, request, *admin)
	}))
}

// status prints the state of the fleet. It fails the check unless the fleet is healthy.
func (inv *invocation) status(ctx context.Context, admins []string) error {
	if len(admins) > 0 {
		inv.printProgress("reading the store and the status of %d daemons", len(admins))
	}
	report, err := fleet.Gather(ctx, inv.store, inv.instances, admins)
	if err != nil {
		return err
	}
	if err := inv.printResult(report, func(w io.Writer) { writeReport(w, report) }); err != nil {
		return err
	}
	if !report.Healthy() {
		return errCheckFailed
	}
	return nil
}

// writeReport prints the report as text, with one line for each item.
func writeReport(w io.Writer, report *fleet.Report) {
	line := func(format string, args ...any) { _, _ = fmt.Fprintf(w, format+"\n", args...) }
	line("records %d, latest revision %d", report.Records, report.Latest)
	for _, rejected := range report.Rejected {
		line("not in force as written: %s", rejected)
	}
	for _, instance := range report.Instances {
		line("instance %s %s %s peers=%s", instance.ID, instance.FailureDomain, instance.State, instance.Peer)
	}
	for _, slot := range report.Slots {
		line("slot %s %s", slot.Key, slot.Value)
	}
	for _, daemon := range report.Daemons {
		if daemon.Status == nil {
			line("daemon %s no answer: %s", daemon.Address, daemon.Error)
			continue
		}
		configuration := daemon.Status.Configuration
		line("daemon %s %s revision=%d behind=%v freshness=%s age=%dms watching=%v rejected=%d draining=%v",
			daemon.Address, daemon.Status.Instance, configuration.Revision, daemon.Behind, configuration.Freshness,
			configuration.AgeMillis, configuration.Watching, configuration.Rejected, daemon.Status.Draining)
	}
}

// explain prints how a request would be routed, in the view of the daemon with the given
// admin address if there is one. It fails the check when the request would be refused.
func (inv *invocation) explain(ctx context.Context, request explain.Request, admin string) error {
	state, err := change.LoadConfiguration(ctx, inv.store)
	if err != nil {
		return err
	}
	records, _ := snapshot.Build(nil, state)
	var daemonStatus *status.Daemon
	if admin != "" {
		daemon := fleet.FetchStatuses(ctx, []string{admin})[0]
		if daemon.Status == nil {
			return eris.New(daemon.Error)
		}
		daemonStatus = daemon.Status
	}
	explanation := explain.Explain(records, request, daemonStatus)
	err = inv.printResult(explanation, func(w io.Writer) {
		for _, step := range explanation.Steps {
			_, _ = fmt.Fprintf(w, "%-10s %s\n", step.Subject, step.Finding)
		}
	})
	if err == nil && explanation.Refused {
		return errCheckFailed
	}
	return err
}
