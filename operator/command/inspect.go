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

func (s *session) addInspection(ctx context.Context, app *kingpin.Application) {
	status := app.Command("status", "Show the fleet; exit code 6 when it is not in order.")
	admins := status.Flag("admin", "Admin address of a daemon, host:port; may be repeated.").Strings()
	status.Action(s.action(ctx, func(ctx context.Context) error { return s.status(ctx, *admins) }))

	why := app.Command("explain", "Say where a statement would go, and why. Exit code 6 when it would be refused.")
	var question explain.Question
	why.Flag("database", "Database name that the caller connects to.").Required().StringVar(&question.Database)
	key := why.Flag("key", "The caller's key; none if left out.").String()
	admin := why.Flag("admin", "Admin address of the daemon whose view is used, host:port.").String()
	why.Arg("statement", "The SQL text.").Required().StringVar(&question.Statement)
	why.Action(s.action(ctx, func(ctx context.Context) error {
		question.Key = topology.KeyID(*key)
		return s.explain(ctx, question, *admin)
	}))
}

func (s *session) status(ctx context.Context, admins []string) error {
	if len(admins) > 0 {
		s.progress("asking the store and %d daemons", len(admins))
	}
	report, err := fleet.Gather(ctx, s.store, s.instances, admins)
	if err != nil {
		return err
	}
	if err := s.print(report, func(w io.Writer) { writeReport(w, report) }); err != nil {
		return err
	}
	if !report.InOrder() {
		return errDiffers
	}
	return nil
}

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

func (s *session) explain(ctx context.Context, question explain.Question, admin string) error {
	state, err := change.LoadConfiguration(ctx, s.store)
	if err != nil {
		return err
	}
	current, _ := snapshot.Build(nil, state)
	var view *status.Daemon
	if admin != "" {
		daemon := fleet.Ask(ctx, []string{admin})[0]
		if daemon.Status == nil {
			return eris.New(daemon.Error)
		}
		view = daemon.Status
	}
	answer := explain.Explain(current, question, view)
	err = s.print(answer, func(w io.Writer) {
		for _, step := range answer.Steps {
			_, _ = fmt.Fprintf(w, "%-10s %s\n", step.Subject, step.Finding)
		}
	})
	if err == nil && answer.Refused {
		return errDiffers
	}
	return err
}
