package record

import (
	"bytes"
	"embed"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
	"golang.org/x/text/language"
	"golang.org/x/text/message"
)

//go:embed schema/*.json
var schemaFiles embed.FS

// envelopeFile is the file name of the envelope's schema document.
const envelopeFile = "envelope.json"

// schema is a JSON Schema document: compiled for validation, and parsed into a tree
// that says which fields are known.
type schema struct {
	compiled *jsonschema.Schema
	root     *schemaNode
}

// schemaNode is the part of a schema document that describes one JSON value: an object
// has Properties, an array has Items, any other value has neither.
type schemaNode struct {
	Description string                 `json:"description"`
	Properties  map[string]*schemaNode `json:"properties"`
	Items       *schemaNode            `json:"items"`
}

// schemas holds the embedded schema documents by file name. They are compiled at
// startup and not changed later.
var schemas = loadSchemas()

// englishPrinter formats the violated rules of package jsonschema for messages.
var englishPrinter = message.NewPrinter(language.English)

// loadSchemas compiles the embedded schema documents. It panics when one is invalid,
// since they are part of the program.
func loadSchemas() map[string]*schema {
	files, err := schemaFiles.ReadDir("schema")
	if err != nil {
		panic(err)
	}
	loaded := make(map[string]*schema, len(files))
	for _, file := range files {
		loaded[file.Name()], err = loadSchema(file.Name())
		if err != nil {
			panic(eris.Wrapf(err, "load schema document %s", file.Name()))
		}
	}
	return loaded
}

func loadSchema(name string) (*schema, error) {
	data, err := schemaFiles.ReadFile("schema/" + name)
	if err != nil {
		return nil, err
	}
	document, err := jsonschema.UnmarshalJSON(bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	compiler := jsonschema.NewCompiler()
	compiler.AssertContent() // contentEncoding is not enforced by default
	if err := compiler.AddResource(name, document); err != nil {
		return nil, err
	}
	compiled, err := compiler.Compile(name)
	if err != nil {
		return nil, err
	}
	root := new(schemaNode)
	if err := json.Unmarshal(data, root); err != nil {
		return nil, err
	}
	return &schema{compiled: compiled, root: root}, nil
}

// specFile returns the file name of the schema document for the spec of a kind in a
// schema version.
func specFile(recordKind Kind, version int) string {
	return fmt.Sprintf("%s.v%d.json", recordKind, version)
}

// SchemaDocument returns the JSON Schema document for the spec of a kind in a schema
// version.
func SchemaDocument(recordKind Kind, version int) ([]byte, error) {
	return schemaFiles.ReadFile("schema/" + specFile(recordKind, version))
}

// validate checks data against the schema. It returns the first violation, with its
// path below prefix, or nil.
func (s *schema) validate(data []byte, prefix string) *InvalidError {
	value, err := jsonschema.UnmarshalJSON(bytes.NewReader(data))
	if err != nil {
		return &InvalidError{Path: prefix, Rule: err.Error(), Accepted: s.root.Description}
	}
	if invalid := s.root.checkNameCase(value, prefix); invalid != nil {
		return invalid
	}
	var violation *jsonschema.ValidationError
	if !errors.As(s.compiled.Validate(value), &violation) {
		return nil
	}
	specific := firstViolation(violation)
	accepted := s.root.nodeAt(specific.InstanceLocation).Description
	rule := specific.ErrorKind.LocalizedString(englishPrinter)
	return &InvalidError{Path: appendPath(prefix, specific.InstanceLocation), Rule: rule, Accepted: accepted}
}

// firstViolation descends through the causes of a violation to the specific rule that
// failed, choosing the cause with the lowest location where there are several. It stops
// at oneOf, since a violation inside one alternative does not explain why none or more
// than one of them matched.
func firstViolation(violation *jsonschema.ValidationError) *jsonschema.ValidationError {
	for len(violation.Causes) > 0 {
		if _, alternatives := violation.ErrorKind.(*kind.OneOf); alternatives {
			return violation
		}
		violation = slices.MinFunc(violation.Causes, func(a, b *jsonschema.ValidationError) int {
			return slices.Compare(a.InstanceLocation, b.InstanceLocation)
		})
	}
	return violation
}

// nodeAt returns the node at a location, or the deepest node above it when the schema
// does not describe the location.
func (node *schemaNode) nodeAt(location []string) *schemaNode {
	for _, step := range location {
		next := node.Properties[step]
		if next == nil {
			next = node.Items
		}
		if next == nil {
			return node
		}
		node = next
	}
	return node
}

// checkNameCase rejects member names, at any depth, that differ from a known name only
// in letter case. The schema treats them as unknown, but encoding/json matches names
// without regard to case and would decode them into the known field.
func (node *schemaNode) checkNameCase(value any, path string) *InvalidError {
	switch value := value.(type) {
	case map[string]any:
		return node.checkMemberNames(value, path)
	case []any:
		if node.Items == nil {
			return nil
		}
		for i, item := range value {
			if invalid := node.Items.checkNameCase(item, appendPath(path, []string{strconv.Itoa(i)})); invalid != nil {
				return invalid
			}
		}
	}
	return nil
}

// checkMemberNames is checkNameCase for an object. It checks members in the order of
// their names, so that the same record always gives the same error.
func (node *schemaNode) checkMemberNames(object map[string]any, path string) *InvalidError {
	for _, name := range slices.Sorted(maps.Keys(object)) {
		value := object[name]
		memberPath := appendPath(path, []string{name})
		if known := node.Properties[name]; known != nil {
			if invalid := known.checkNameCase(value, memberPath); invalid != nil {
				return invalid
			}
			continue
		}
		for known := range node.Properties {
			if strings.EqualFold(known, name) {
				return &InvalidError{Path: memberPath, Rule: "the name differs from a known field only in letter case", Accepted: known}
			}
		}
	}
	return nil
}

// appendPath appends a location to a JSON path. Steps that are numbers become array
// indexes.
func appendPath(prefix string, location []string) string {
	var path strings.Builder
	path.WriteString(prefix)
	for _, step := range location {
		if _, err := strconv.Atoi(step); err == nil {
			path.WriteString("[" + step + "]")
			continue
		}
		path.WriteString("." + step)
	}
	return path.String()
}
