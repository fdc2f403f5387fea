package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pmezard/go-difflib/difflib"
	"github.com/rotisserie/eris"
	"samphirehitch.example/samphirehitch/operator/change"
	"samphirehitch.example/samphirehitch/operator/history"
	"samphirehitch.example/samphirehitch/process/config"
	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/version/record"
)

// writeFlags are the flags of commands that write records.
type writeFlags struct {
	overwrite bool
	dangling  bool
	change    string
	// admins are the daemons that the command waits for.
	admins []string
}

func (f *writeFlags) add(command *kingpin.CmdClause) {
	f.addSettling(command)
	command.Flag("overwrite", "Replace the version found, whatever it is.").BoolVar(&f.overwrite)
	command.Flag("allow-dangling", "Write even if records are left that refer to what does not exist.").BoolVar(&f.dangling)
}

// addSettling adds the flags of every command that writes.
func (f *writeFlags) addSettling(command *kingpin.CmdClause) {
	command.Flag("change", "Id of the change; settles an earlier run with an unknown outcome.").StringVar(&f.change)
	command.Flag("admin", "Wait until the daemon with this admin address, host:port, holds the change; may be repeated.").StringsVar(&f.admins)
}

// id returns the change's id and whether it is that of an earlier run.
func (s *session) id(flags writeFlags) (record.ChangeID, bool) {
	if flags.change != "" {
		return record.ChangeID(flags.change), true
	}
	return s.NewID(), false
}

func (s *session) addRecords(ctx context.Context, app *kingpin.Application) {
	validate := app.Command("validate", "Check records without a store.")
	validateFiles := validate.Arg("file", "Files of records; - for the standard input.").Required().Strings()
	validate.Action(func(*kingpin.ParseContext) error { return s.validate(*validateFiles) })

	apply := app.Command("apply", "Write records.")
	applyFiles := apply.Arg("file", "Files of records; - for the standard input.").Required().Strings()
	var applyFlags writeFlags
	applyFlags.add(apply)
	apply.Action(s.action(ctx, func(ctx context.Context) error { return s.apply(ctx, *applyFiles, applyFlags) }))

	get := app.Command("get", "Show records.")
	getName := get.Arg("name", "A kind, or a record as kind/id; all records if left out.").HintOptions(kindNames()...).String()
	get.Action(s.action(ctx, func(ctx context.Context) error { return s.get(ctx, *getName) }))

	diff := app.Command("diff", "Compare records with the store's; exit code 6 when they differ.")
	diffFiles := diff.Arg("file", "Files of records; - for the standard input.").Required().Strings()
	diff.Action(s.action(ctx, func(ctx context.Context) error { return s.diff(ctx, *diffFiles) }))

	past := app.Command("history", "Show the recent versions of a record.")
	pastName := past.Arg("name", "The record as kind/id.").Required().String()
	pastShow := past.Flag("show", "Print the version that a change wrote, fit for apply.").String()
	past.Action(s.action(ctx, func(ctx context.Context) error { return s.history(ctx, *pastName, *pastShow) }))

	remove := app.Command("delete", "Delete a record.")
	removeName := remove.Arg("name", "The record as kind/id.").Required().String()
	removeBase := remove.Flag("base", "The change whose version is deleted.").String()
	var removeFlags writeFlags
	removeFlags.add(remove)
	remove.Action(s.action(ctx, func(ctx context.Context) error {
		return s.delete(ctx, *removeName, record.ChangeID(*removeBase), removeFlags)
	}))
}

// kindNames lists the kinds for completion in shells.
func kindNames() []string {
	var names []string
	for _, kind := range record.Kinds() {
		names = append(names, string(kind))
	}
	return names
}

func (s *session) validate(files []string) error {
	inputs, err := s.read(files)
	if err != nil {
		return err
	}
	names := make([]string, len(inputs))
	for i, input := range inputs {
		names[i] = record.Name(input.document.Kind, input.document.ID)
	}
	return s.print(names, func(w io.Writer) {
		for _, name := range names {
			_, _ = fmt.Fprintln(w, "valid", name)
		}
	})
}

// apply writes all records, or none when one is not valid. They are written one
// after the other; the first failure ends the work.
func (s *session) apply(ctx context.Context, files []string, flags writeFlags) error {
	inputs, err := s.read(files)
	if err != nil {
		return err
	}
	documents := make([]*record.Document, len(inputs))
	for i, input := range inputs {
		documents[i] = input.document
	}
	change.SortForWriting(documents)
	if !flags.dangling {
		if err := s.check(ctx, documents, nil); err != nil {
			return err
		}
	}
	id, rerun := s.id(flags)
	writer := change.NewWriter(s.store, s.author)
	var results []change.Result
	for i, document := range documents {
		request := change.NewPutRequest(document, id, flags.overwrite)
		request.Rerun = rerun
		result, err := writer.Apply(ctx, request)
		if err != nil {
			s.progress("%d of %d records written, then a failure", i, len(documents))
			if len(results) > 0 {
				err = errors.Join(s.results(results), err)
			}
			return err
		}
		results = append(results, result)
		s.progress("%d/%d %s %s", i+1, len(documents), result.Outcome, result.Name)
	}
	return s.finish(ctx, results, flags.admins)
}

func (s *session) check(ctx context.Context, written []*record.Document, deleted []string) error {
	state, err := change.LoadConfiguration(ctx, s.store)
	if err != nil {
		return err
	}
	return change.CheckReferences(state, written, deleted)
}

func (s *session) results(results []change.Result) error {
	return s.print(results, func(w io.Writer) {
		for _, result := range results {
			_, _ = fmt.Fprintf(w, "%s %s change=%s revision=%d\n", result.Outcome, result.Name, result.Change, result.Revision)
		}
	})
}

// parseName splits kind/id.
func parseName(name string) (record.Kind, string, error) {
	kind, id, ok := strings.Cut(name, "/")
	if !ok || id == "" || !slices.Contains(record.Kinds(), record.Kind(kind)) {
		return "", "", eris.Errorf("%q is no record name; accepted: kind/id with a kind of %v", name, record.Kinds())
	}
	return record.Kind(kind), id, nil
}

// get prints records as the store holds them.
func (s *session) get(ctx context.Context, name string) error {
	if strings.Contains(name, "/") {
		kind, id, err := parseName(name)
		if err != nil {
			return err
		}
		found, err := change.Read(ctx, s.store, kind, id)
		if err != nil {
			return err
		}
		if found == nil {
			return &change.NotFoundError{Name: name}
		}
		_, err = io.WriteString(s.Stdout, indent(found.Entry.Value))
		return err
	}
	if name != "" && !slices.Contains(record.Kinds(), record.Kind(name)) {
		return eris.Errorf("%q is no kind; accepted: %v", name, record.Kinds())
	}
	state, err := change.LoadConfiguration(ctx, s.store)
	if err != nil {
		return err
	}
	return s.list(selectKind(state.Entries, name))
}

func selectKind(entries []store.Entry, kind string) []store.Entry {
	if kind == "" {
		return entries
	}
	prefix := config.Prefix + kind + "/"
	return slices.DeleteFunc(slices.Clone(entries), func(entry store.Entry) bool { return !strings.HasPrefix(entry.Key, prefix) })
}

// list prints one line for each record, or the records themselves as JSON.
func (s *session) list(entries []store.Entry) error {
	if s.output == "json" {
		for _, entry := range entries {
			if _, err := io.WriteString(s.Stdout, indent(entry.Value)); err != nil {
				return err
			}
		}
		return nil
	}
	for _, entry := range entries {
		name := strings.TrimPrefix(entry.Key, config.Prefix)
		document, err := record.Decode(entry.Value)
		if err != nil {
			_, _ = fmt.Fprintf(s.Stdout, "%s revision=%d unreadable: %v\n", name, entry.Revision, err)
			continue
		}
		_, _ = fmt.Fprintf(s.Stdout, "%s schema=%d revision=%d change=%s author=%s\n", name, document.Schema, entry.Revision, document.Change, document.Author)
	}
	return nil
}

func (s *session) diff(ctx context.Context, files []string) error {
	inputs, err := s.read(files)
	if err != nil {
		return err
	}
	differs := false
	for _, input := range inputs {
		changed, err := s.diffOne(ctx, input)
		if err != nil {
			return err
		}
		differs = differs || changed
	}
	if differs {
		return errDiffers
	}
	return nil
}

func (s *session) diffOne(ctx context.Context, input input) (bool, error) {
	document := input.document
	found, err := change.Read(ctx, s.store, document.Kind, document.ID)
	if err != nil {
		return false, err
	}
	var before string
	if found != nil {
		if found.Document != nil && record.SameContent(found.Document, document) {
			return false, nil
		}
		before = strings.TrimSuffix(indent(found.Entry.Value), "\n")
		document.Change, document.Author = found.LastChange()
	}
	after, err := document.Encode()
	if err != nil {
		return false, err
	}
	name := record.Name(document.Kind, document.ID)
	text, err := difflib.GetUnifiedDiffString(difflib.UnifiedDiff{
		A: difflib.SplitLines(before), B: difflib.SplitLines(strings.TrimSuffix(indent(after), "\n")),
		FromFile: "store " + name, ToFile: input.file + " " + name, Context: 3,
	})
	if err != nil {
		return false, eris.Wrap(err, "compare")
	}
	_, err = io.WriteString(s.Stdout, text)
	return true, err
}

func (s *session) history(ctx context.Context, name, show string) error {
	kind, id, err := parseName(name)
	if err != nil {
		return err
	}
	archive, err := history.Load(ctx, s.store, kind, id)
	if err != nil {
		return err
	}
	found, err := change.Read(ctx, s.store, kind, id)
	if err != nil {
		return err
	}
	if found != nil && found.Document != nil {
		archive.Versions = append(slices.DeleteFunc(archive.Versions, func(version history.Version) bool {
			return version.Revision == found.Entry.Revision
		}), history.Version{
			Change: found.Document.Change, Author: found.Document.Author, Revision: found.Entry.Revision, Record: found.Entry.Value,
		})
	}
	if len(archive.Versions) == 0 {
		return &change.NotFoundError{Name: name}
	}
	if show != "" {
		return s.showVersion(name, archive, record.ChangeID(show))
	}
	return s.print(archive.Versions, func(w io.Writer) {
		for _, version := range archive.Versions {
			writeVersion(w, version)
		}
	})
}

func (s *session) showVersion(name string, archive history.Archive, id record.ChangeID) error {
	version, ok := archive.FindChange(id)
	if !ok || version.Record == nil {
		return &change.NotFoundError{Name: name + " of change " + string(id)}
	}
	_, err := io.WriteString(s.Stdout, indent(version.Record))
	return err
}

func writeVersion(w io.Writer, version history.Version) {
	state := "in force"
	switch {
	case version.Deleted:
		state = "deleted " + version.Archived.Format("2006-01-02T15:04:05Z")
	case !version.Archived.IsZero():
		state = "replaced " + version.Archived.Format("2006-01-02T15:04:05Z")
	}
	_, _ = fmt.Fprintf(w, "revision=%d change=%s author=%s %s\n", version.Revision, version.Change, version.Author, state)
}

func (s *session) delete(ctx context.Context, name string, base record.ChangeID, flags writeFlags) error {
	kind, id, err := parseName(name)
	if err != nil {
		return err
	}
	if !flags.dangling {
		if err := s.check(ctx, nil, []string{name}); err != nil {
			return err
		}
	}
	changeID, rerun := s.id(flags)
	result, err := change.NewWriter(s.store, s.author).Apply(ctx, change.Request{
		Kind: kind, ID: id, Change: changeID, Base: base, Rerun: rerun, Overwrite: flags.overwrite, Delete: true,
	})
	if err != nil {
		return err
	}
	return s.finish(ctx, []change.Result{result}, flags.admins)
}
