package record

import (
	"fmt"
	"strings"
)

// InvalidError reports a record that violates its schema. Kind and ID are empty when
// the envelope could not be decoded.
type InvalidError struct {
	Kind Kind
	ID   string
	// Path is the JSON path of the invalid value, starting with $.
	Path string
	// Rule describes the violated rule.
	Rule string
	// Accepted describes the values that the schema accepts at Path.
	Accepted string
}

// Error states the record, the path, the violated rule and the accepted values.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("%s: %s: %s; accepted: %s", recordLabel(e.Kind, e.ID), e.Path, e.Rule, e.Accepted)
}

// UnsupportedSchemaError reports a record of a kind or a schema version that this
// program cannot decode.
type UnsupportedSchemaError struct {
	Kind   Kind
	ID     string
	Schema int
	// Supported lists the supported schema versions of the kind. It is empty when the
	// kind is unknown.
	Supported []int
}

// Error states the record, its kind or schema version, and the supported ones.
func (e *UnsupportedSchemaError) Error() string {
	if len(e.Supported) == 0 {
		return fmt.Sprintf("%s: kind %q is not supported; accepted: %s", recordLabel(e.Kind, e.ID), e.Kind, formatKinds(Kinds()))
	}
	return fmt.Sprintf("%s: schema %d is not supported; accepted: %v", recordLabel(e.Kind, e.ID), e.Schema, e.Supported)
}

// TooLargeError reports an encoded record of more than MaxBytes.
type TooLargeError struct {
	Kind Kind
	ID   string
	// Bytes is the size of the encoded record.
	Bytes int
}

// Error states the record, its size and the limit.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("%s: %d bytes; accepted: at most %d bytes", recordLabel(e.Kind, e.ID), e.Bytes, MaxBytes)
}

// Name returns kind/id, the name of a record in messages and store keys.
func Name(kind Kind, id string) string { return string(kind) + "/" + id }

// recordLabel returns how messages refer to a record. A record whose envelope could
// not be decoded has no name.
func recordLabel(kind Kind, id string) string {
	if kind == "" || id == "" {
		return "record"
	}
	return "record " + Name(kind, id)
}

func formatKinds(kinds []Kind) string {
	names := make([]string, len(kinds))
	for i, kind := range kinds {
		names[i] = string(kind)
	}
	return strings.Join(names, ", ")
}
