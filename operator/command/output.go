package command

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/rotisserie/eris"
	"samphirehitch.example/samphirehitch/operator/change"
	"samphirehitch.example/samphirehitch/version/record"
)

// errorOutput is an error as printed with --output json.
type errorOutput struct {
	Error string `json:"error"`
	// Exit is the exit code.
	Exit int `json:"exit"`
	// Ours and Theirs are the rejected and the current change of a conflict.
	Ours   *change.Attribution `json:"ours,omitempty"`
	Theirs *change.Attribution `json:"theirs,omitempty"`
	// Path, Rule and Accepted are those of a record.InvalidError.
	Path     string `json:"path,omitempty"`
	Rule     string `json:"rule,omitempty"`
	Accepted string `json:"accepted,omitempty"`
	// Change is the ID of a change with an unknown outcome. A rerun with this ID as
	// --change resolves the outcome.
	Change record.ChangeID `json:"change,omitempty"`
}

// printError prints an error to standard error, as text or JSON.
func (inv *invocation) printError(err error, code int) {
	if inv.output != "json" {
		_, _ = fmt.Fprintln(inv.Stderr, "samphirehitchctl:", err)
		return
	}
	output := errorOutput{Error: err.Error(), Exit: code}
	var conflict *change.ConflictError
	if errors.As(err, &conflict) {
		output.Ours, output.Theirs = &conflict.Ours, &conflict.Theirs
	}
	var invalid *record.InvalidError
	if errors.As(err, &invalid) {
		output.Path, output.Rule, output.Accepted = invalid.Path, invalid.Rule, invalid.Accepted
	}
	var outcomeUnknown *change.OutcomeUnknownError
	if errors.As(err, &outcomeUnknown) {
		output.Change = outcomeUnknown.Change
	}
	_ = json.NewEncoder(inv.Stderr).Encode(output)
}

// printProgress prints a line of progress or a warning to standard error.
func (inv *invocation) printProgress(format string, args ...any) {
	_, _ = fmt.Fprintf(inv.Stderr, format+"\n", args...)
}

// printResult prints a value as JSON with --output json, and calls text to print it
// otherwise.
func (inv *invocation) printResult(value any, text func(w io.Writer)) error {
	if inv.output == "json" {
		encoder := json.NewEncoder(inv.Stdout)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	}
	text(inv.Stdout)
	return nil
}

// indentJSON returns data as indented JSON with a trailing newline. Data that is not
// JSON is returned as it is.
func indentJSON(data []byte) string {
	var out bytes.Buffer
	if json.Indent(&out, data, "", "  ") != nil {
		return string(data) + "\n"
	}
	return out.String() + "\n"
}

// standardInput is the name of standard input in messages.
const standardInput = "standard input"

// inputRecord is a record that was read from a file, whose name messages state.
type inputRecord struct {
	file     string
	document *record.Document
}

// readInputs decodes and validates all records in some files. A file holds records one
// after the other or in arrays. The name - stands for standard input.
func (inv *invocation) readInputs(files []string) ([]inputRecord, error) {
	var inputs []inputRecord
	for _, file := range files {
		if file == "" || file == "-" { // kingpin passes a lone dash as an empty string
			file = standardInput
		}
		values, err := inv.readValues(file)
		if err != nil {
			return nil, err
		}
		for i, value := range values {
			document, err := record.Decode(value)
			if err != nil {
				return nil, eris.Wrapf(err, "%s: record %d", file, i+1)
			}
			inv.warnUnknown(file, document)
			inputs = append(inputs, inputRecord{file: file, document: document})
		}
	}
	return inputs, nil
}

// warnUnknown warns of fields that the record's schema does not describe. They are
// preserved but have no effect, and may be misspelled.
func (inv *invocation) warnUnknown(file string, document *record.Document) {
	for _, path := range document.UnknownFields() {
		inv.printProgress("warning: %s: record %s: %s is not known to schema %d", file, record.Name(document.Kind, document.ID), path, document.Schema)
	}
}

// readValues returns the JSON values in a file. The items of arrays are returned one by
// one.
func (inv *invocation) readValues(file string) ([]json.RawMessage, error) {
	reader := inv.Stdin
	if file != standardInput {
		opened, err := os.Open(file)
		if err != nil {
			return nil, err
		}
		defer func() { _ = opened.Close() }()
		reader = opened
	}
	var values []json.RawMessage
	decoder := json.NewDecoder(reader)
	for {
		var value json.RawMessage
		err := decoder.Decode(&value)
		if errors.Is(err, io.EOF) {
			return values, nil
		}
		if err != nil {
			return nil, eris.Wrapf(err, "%s: read JSON", file)
		}
		if len(value) == 0 || value[0] != '[' {
			values = append(values, value)
			continue
		}
		var list []json.RawMessage
		if err := json.Unmarshal(value, &list); err != nil {
			return nil, eris.Wrapf(err, "%s: read array", file)
		}
		values = append(values, list...)
	}
}
