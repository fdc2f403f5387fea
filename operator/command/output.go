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

// failure is an error as written with --output json.
type failure struct {
	Error string `json:"error"`
	Exit  int    `json:"exit"`
	// Ours and Theirs are the sides of a conflict.
	Ours   *change.Attribution `json:"ours,omitempty"`
	Theirs *change.Attribution `json:"theirs,omitempty"`
	// Path, Rule and Accepted say what is wrong with a record.
	Path     string `json:"path,omitempty"`
	Rule     string `json:"rule,omitempty"`
	Accepted string `json:"accepted,omitempty"`
	// Change settles an unknown outcome when it is given as --change.
	Change record.ChangeID `json:"change,omitempty"`
}

// report writes an error to the standard error.
func (s *session) report(err error, code int) {
	if s.output != "json" {
		_, _ = fmt.Fprintln(s.Stderr, "samphirehitchctl:", err)
		return
	}
	described := failure{Error: err.Error(), Exit: code}
	var conflict *change.ConflictError
	if errors.As(err, &conflict) {
		described.Ours, described.Theirs = &conflict.Ours, &conflict.Theirs
	}
	var invalid *record.InvalidError
	if errors.As(err, &invalid) {
		described.Path, described.Rule, described.Accepted = invalid.Path, invalid.Rule, invalid.Accepted
	}
	var unsettled *change.OutcomeUnknownError
	if errors.As(err, &unsettled) {
		described.Change = unsettled.Change
	}
	_ = json.NewEncoder(s.Stderr).Encode(described)
}

// progress writes a line about long work to the standard error.
func (s *session) progress(format string, args ...any) {
	_, _ = fmt.Fprintf(s.Stderr, format+"\n", args...)
}

// print writes a value as JSON, or the text that text makes.
func (s *session) print(value any, text func(w io.Writer)) error {
	if s.output == "json" {
		encoder := json.NewEncoder(s.Stdout)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	}
	text(s.Stdout)
	return nil
}

// indent formats a record for people.
func indent(data []byte) string {
	var out bytes.Buffer
	if json.Indent(&out, data, "", "  ") != nil {
		return string(data) + "\n"
	}
	return out.String() + "\n"
}

// standardInput names the standard input in messages.
const standardInput = "standard input"

// input is a record as read from a file.
type input struct {
	file     string
	document *record.Document
}

// read decodes all records of some files: JSON values one after the other, or
// arrays of them. The name - stands for the standard input.
func (s *session) read(files []string) ([]input, error) {
	var inputs []input
	for _, file := range files {
		if file == "" || file == "-" { // kingpin hands on a lone dash as an empty text
			file = standardInput
		}
		values, err := s.values(file)
		if err != nil {
			return nil, err
		}
		for i, value := range values {
			document, err := record.Decode(value)
			if err != nil {
				return nil, eris.Wrapf(err, "%s: record %d", file, i+1)
			}
			s.warnUnknown(file, document)
			inputs = append(inputs, input{file: file, document: document})
		}
	}
	return inputs, nil
}

// warnUnknown points out fields that are kept but have no effect here.
func (s *session) warnUnknown(file string, document *record.Document) {
	for _, path := range document.UnknownFields() {
		s.progress("warning: %s: record %s: %s is not known to schema %d", file, record.Name(document.Kind, document.ID), path, document.Schema)
	}
}

func (s *session) values(file string) ([]json.RawMessage, error) {
	reader := s.Stdin
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
