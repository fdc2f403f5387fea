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

// writeFlags holds the flags of commands that write records.
type writeFlags struct {
	overwrite     bool
	allowDangling bool
	// change is the ID of a change that an earlier run may have made, or empty for a new
	// change.
	change string
	// admins holds the admin addresses of the daemons on which the change must come into
	// force.
	admins []string
}

// register adds all write flags to a command.
func (f *writeFlags) register(command *kingpin.CmdClause) {
	f.registerCommon(command)
	command.Flag("overwrite", "Replace the current version, whichever change wrote it.").BoolVar(&f.overwrite)
	command.Flag("allow-dangling", "Write even if this leaves records that refer to records that do not exist.").BoolVar(&f.allowDangling)
}

// registerCommon adds the flags that apply to every command that writes, including those
// that always overwrite.
func (f *writeFlags) registerCommon(command *kingpin.CmdClause) {
	command.Flag("change", "ID of the change. Give the ID of an earlier run to resolve its unknown outcome.").StringVar(&f.change)
	command.Flag("admin", "Wait until the change is in force on the daemon with this admin address, host:port; may be repeated.").StringsVar(&f.admins)
}

// changeID returns the ID for a change and whether an earlier run has used it already.
func (inv *invocation) changeID(flags writeFlags) (record.ChangeID, bool) {
	if flags.change != "" {
		return record.ChangeID(flags.change), true
	}
	return inv.NewChangeID(), false
}

func (inv *invocation) addRecordCommands(ctx context.Context, app *kingpin.Application) {
	validate := app.Command("validate", "Check records without a store.")
	validateFiles := validate.Arg("file", "Files of records; - for the standard input.").Required().Strings()
	validate.Action(func(*kingpin.ParseContext) error { return inv.validate(*validateFiles) })

	apply := app.Command("apply", "Write records.")
	applyFiles := apply.Arg("file", "Files of records; - for the standard input.").Required().Strings()
	var applyFlags writeFlags
	applyFlags.register(apply)
	apply.Action(inv.storeAction(ctx, func(ctx context.Context) error { return inv.apply(ctx, *applyFiles, applyFlags) }))

	get := app.Command("get", "Show records.")
	getName := get.Arg("name", "A kind, or a record as kind/id; all records if left out.").HintOptions(kindNames()...).String()
	get.Action(inv.storeAction(ctx, func(ctx context.Context) error { return inv.get(ctx, *getName) }))

	diff := app.Command("diff", "Compare records with those in the store; exit code 6 when they differ.")
	diffFiles := diff.Arg("file", "Files of records; - for the standard input.").Required().Strings()
	diff.Action(inv.storeAction(ctx, func(ctx context.Context) error { return inv.diff(ctx, *diffFiles) }))

	historyCommand := app.Command("history", "Show the recent versions of a record.")
	historyName := historyCommand.Arg("name", "The record as kind/id.").Required().String()
	historyShow := historyCommand.Flag("show", "Print the version that a change wrote, as input for apply.").String()
	historyCommand.Action(inv.storeAction(ctx, func(ctx context.Context) error { return inv.history(ctx, *historyName, *historyShow) }))

	deleteCommand := app.Command("delete", "Delete a record.")
	deleteName := deleteCommand.Arg("name", "The record as kind/id.").Required().String()
	deleteBase := deleteCommand.Flag("base", "The change whose version is deleted.").String()
	var deleteFlags writeFlags
	deleteFlags.register(deleteCommand)
	deleteCommand.Action(inv.storeAction(ctx, func(ctx context.Context) error {
		return inv.delete(ctx, *deleteName, record.ChangeID(*deleteBase), deleteFlags)
	}))
}

// kindNames returns the kinds for shell completion.
func kindNames() []string {
	var names []string
	for _, kind := range record.Kinds() {
		names = append(names, string(kind))
	}
	return names
}

// validate decodes all records and prints their names.
func (inv *invocation) validate(files []string) error {
	inputs, err := inv.readInputs(files)
	if err != nil {
		return err
	}
	names := make([]string, len(inputs))
	for i, input := range inputs {
		names[i] = record.Name(input.document.Kind, input.document.ID)
	}
	return inv.printResult(names, func(w io.Writer) {
		for _, name := range names {
			_, _ = fmt.Fprintln(w, "valid", name)
		}
	})
}

// apply validates all records before it writes any. The writes are not atomic: records
// are written one after the other, and the first failure leaves the remaining ones
// unwritten.
func (inv *invocation) apply(ctx context.Context, files []string, flags writeFlags) error {
	inputs, err := inv.readInputs(files)
	if err != nil {
		return err
	}
	documents := make([]*record.Document, len(inputs))
	for i, input := range inputs {
		documents[i] = input.document
	}
	change.SortForWriting(documents)
	if !flags.allowDangling {
		if err := inv.checkReferences(ctx, documents, nil); err != nil {
			return err
		}
	}
	id, rerun := inv.changeID(flags)
	writer := change.NewWriter(inv.store, inv.author)
	var results []change.Result
	for i, document := range documents {
		request := change.NewPutRequest(document, id, flags.overwrite)
		request.Rerun = rerun
		result, err := writer.Apply(ctx, request)
		if err != nil {
			inv.printProgress("%d of %d records written, then a failure", i, len(documents))
			if len(results) > 0 {
				err = errors.Join(inv.printChanges(results), err)
			}
			return err
		}
		results = append(results, result)
		inv.printProgress("%d/%d %s %s", i+1, len(documents), result.Outcome, result.Name)
	}
	return inv.printAndAwait(ctx, results, flags.admins)
}

// checkReferences checks the references after a change against the configuration in the
// store.
func (inv *invocation) checkReferences(ctx context.Context, written []*record.Document, deleted []string) error {
	state, err := change.LoadConfiguration(ctx, inv.store)
	if err != nil {
		return err
	}
	return change.CheckReferences(state, written, deleted)
}

// printChanges prints the results of changes, one line for each.
func (inv *invocation) printChanges(results []change.Result) error {
	return inv.printResult(results, func(w io.Writer) {
		for _, result := range results {
			_, _ = fmt.Fprintf(w, "%s %s change=%s revision=%d\n", result.Outcome, result.Name, result.Change, result.Revision)
		}
	})
}

// parseName splits a name of the form kind/id. The kind must be supported.
func parseName(name string) (record.Kind, string, error) {
	kind, id, ok := strings.Cut(name, "/")
	if !ok || id == "" || !slices.Contains(record.Kinds(), record.Kind(kind)) {
		return "", "", eris.Errorf("%q is not a record name; accepted: kind/id with a kind of %v", name, record.Kinds())
	}
	return record.Kind(kind), id, nil
}

// get prints a record in full, or lists the records of one kind or of all kinds. Records
// are printed as stored, so that those that cannot be decoded are included.
func (inv *invocation) get(ctx context.Context, name string) error {
	if strings.Contains(name, "/") {
		kind, id, err := parseName(name)
		if err != nil {
			return err
		}
		found, err := change.Read(ctx, inv.store, kind, id)
		if err != nil {
			return err
		}
		if found == nil {
			return &change.NotFoundError{Name: name}
		}
		_, err = io.WriteString(inv.Stdout, indentJSON(found.Entry.Value))
		return err
	}
	if name != "" && !slices.Contains(record.Kinds(), record.Kind(name)) {
		return eris.Errorf("%q is not a kind; accepted: %v", name, record.Kinds())
	}
	state, err := change.LoadConfiguration(ctx, inv.store)
	if err != nil {
		return err
	}
	return inv.printRecords(entriesOfKind(state.Entries, name))
}

// entriesOfKind returns the entries of one kind of record, or all entries for an empty
// kind.
func entriesOfKind(entries []store.Entry, kind string) []store.Entry {
	if kind == "" {
		return entries
	}
	prefix := config.Prefix + kind + "/"
	return slices.DeleteFunc(slices.Clone(entries), func(entry store.Entry) bool { return !strings.HasPrefix(entry.Key, prefix) })
}

// printRecords prints a summary line for each record, or the complete records with
// --output json.
func (inv *invocation) printRecords(entries []store.Entry) error {
	if inv.output == "json" {
		for _, entry := range entries {
			if _, err := io.WriteString(inv.Stdout, indentJSON(entry.Value)); err != nil {
				return err
			}
		}
		return nil
	}
	for _, entry := range entries {
		name := strings.TrimPrefix(entry.Key, config.Prefix)
		document, err := record.Decode(entry.Value)
		if err != nil {
			_, _ = fmt.Fprintf(inv.Stdout, "%s revision=%d unreadable: %v\n", name, entry.Revision, err)
			continue
		}
		_, _ = fmt.Fprintf(inv.Stdout, "%s schema=%d revision=%d change=%s author=%s\n", name, document.Schema, entry.Revision, document.Change, document.Author)
	}
	return nil
}

// diff prints the differences between all records and their versions in the store. It
// fails the check when there are any.
func (inv *invocation) diff(ctx context.Context, files []string) error {
	inputs, err := inv.readInputs(files)
	if err != nil {
		return err
	}
	differs := false
	for _, input := range inputs {
		changed, err := inv.diffOne(ctx, input)
		if err != nil {
			return err
		}
		differs = differs || changed
	}
	if differs {
		return errCheckFailed
	}
	return nil
}

// diffOne prints the differences between a record and its version in the store, and
// reports whether there are any. Change ID and author are not compared.
func (inv *invocation) diffOne(ctx context.Context, input inputRecord) (bool, error) {
	document := input.document
	found, err := change.Read(ctx, inv.store, document.Kind, document.ID)
	if err != nil {
		return false, err
	}
	var storedText string
	if found != nil {
		if found.Document != nil && record.SameContent(found.Document, document) {
			return false, nil
		}
		storedText = strings.TrimSuffix(indentJSON(found.Entry.Value), "\n")
		document.Change, document.Author = found.LastChange()
	}
	encoded, err := document.Encode()
	if err != nil {
		return false, err
	}
	name := record.Name(document.Kind, document.ID)
	text, err := difflib.GetUnifiedDiffString(difflib.UnifiedDiff{
		A: difflib.SplitLines(storedText), B: difflib.SplitLines(strings.TrimSuffix(indentJSON(encoded), "\n")),
		FromFile: "store " + name, ToFile: input.file + " " + name, Context: 3,
	})
	if err != nil {
		return false, eris.Wrap(err, "compare")
	}
	_, err = io.WriteString(inv.Stdout, text)
	return true, err
}

// history prints the archived versions of a record and the current one, or a single
// version when show is the ID of the change that wrote it.
func (inv *invocation) history(ctx context.Context, name, show string) error {
	kind, id, err := parseName(name)
	if err != nil {
		return err
	}
	archive, err := history.Load(ctx, inv.store, kind, id)
	if err != nil {
		return err
	}
	found, err := change.Read(ctx, inv.store, kind, id)
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
		return inv.showVersion(name, archive, record.ChangeID(show))
	}
	return inv.printResult(archive.Versions, func(w io.Writer) {
		for _, version := range archive.Versions {
			writeVersion(w, version)
		}
	})
}

// showVersion prints the record as a change wrote it. A deletion has no record.
func (inv *invocation) showVersion(name string, archive history.Archive, id record.ChangeID) error {
	version, ok := archive.FindChange(id)
	if !ok || version.Record == nil {
		return &change.NotFoundError{Name: name + " of change " + string(id)}
	}
	_, err := io.WriteString(inv.Stdout, indentJSON(version.Record))
	return err
}

// writeVersion prints the summary line of a version. A version without a time of
// archiving is the current one.
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

// delete deletes a record. Without --overwrite, base must be the change that wrote the
// current version.
func (inv *invocation) delete(ctx context.Context, name string, base record.ChangeID, flags writeFlags) error {
	kind, id, err := parseName(name)
	if err != nil {
		return err
	}
	if !flags.allowDangling {
		if err := inv.checkReferences(ctx, nil, []string{name}); err != nil {
			return err
		}
	}
	changeID, rerun := inv.changeID(flags)
	result, err := change.NewWriter(inv.store, inv.author).Apply(ctx, change.Request{
		Kind: kind, ID: id, Change: changeID, Base: base, Rerun: rerun, Overwrite: flags.overwrite, Delete: true,
	})
	if err != nil {
		return err
	}
	return inv.printAndAwait(ctx, []change.Result{result}, flags.admins)
}
