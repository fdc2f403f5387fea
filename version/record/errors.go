package record

import (
	"fmt"
	"strings"
)

// InvalidError reports a record that breaks a rule of its schema.
type InvalidError struct {
	Kind Kind
	ID   string
	// Path is the JSON path of the offending value, from $.
	Path string
	// Rule is the rule that the value breaks.
	Rule string
	// Accepted describes the form that the schema accepts at Path.
	Accepted string
}

// Error names the record, the path, the rule and the accepted form.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("%s: %s: %s; accepted: %s", title(e.Kind, e.ID), e.Path, e.Rule, e.Accepted)
}

// UnsupportedSchemaError reports a kind or a schema version that this program
// does not read.
type UnsupportedSchemaError struct {
	Kind   Kind
	ID     string
	Schema int
	// Supported lists the schema versions of the kind that are read. It is empty
	// when the kind is unknown.
	Supported []int
}

// Error names the record, its schema version and the supported ones.
func (e *UnsupportedSchemaError) Error() string {
	if len(e.Supported) == 0 {
		return fmt.Sprintf("%s: kind %q is not supported; accepted: %s", title(e.Kind, e.ID), e.Kind, joinKinds(Kinds()))
	}
	return fmt.Sprintf("%s: schema %d is not supported; accepted: %v", title(e.Kind, e.ID), e.Schema, e.Supported)
}

// TooLargeError reports an encoded record over MaxBytes.
type TooLargeError struct {
	Kind Kind
	ID   string
	// Bytes is the size of the encoded record.
	Bytes int
}

// Error names the record, its size and the limit.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("%s: %d bytes; accepted: at most %d bytes", title(e.Kind, e.ID), e.Bytes, MaxBytes)
}

// Name joins a kind and an id as messages and store keys do.
func Name(kind Kind, id string) string { return string(kind) + "/" + id }

// title names the record in messages, also when its envelope was not readable.
func title(kind Kind, id string) string {
	if kind == "" || id == "" {
		return "record"
	}
	return "record " + Name(kind, id)
}

func joinKinds(kinds []Kind) string {
	names := make([]string, len(kinds))
	for i, kind := range kinds {
		names[i] = string(kind)
	}
	return strings.Join(names, ", ")
}
