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
var documents embed.FS

// envelopeDocument names the schema document of the envelope.
const envelopeDocument = "envelope.json"

// schema is a compiled JSON Schema document with its tree of properties.
type schema struct {
	compiled *jsonschema.Schema
	root     *property
}

// property is the part of a schema document that describes one value.
type property struct {
	Description string               `json:"description"`
	Properties  map[string]*property `json:"properties"`
	Items       *property            `json:"items"`
}

// schemas holds every embedded document by name, compiled at start-up.
var schemas = loadSchemas()

var english = message.NewPrinter(language.English)

func loadSchemas() map[string]*schema {
	files, err := documents.ReadDir("schema")
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
	text, err := documents.ReadFile("schema/" + name)
	if err != nil {
		return nil, err
	}
	document, err := jsonschema.UnmarshalJSON(bytes.NewReader(text))
	if err != nil {
		return nil, err
	}
	compiler := jsonschema.NewCompiler()
	compiler.AssertContent()
	if err := compiler.AddResource(name, document); err != nil {
		return nil, err
	}
	compiled, err := compiler.Compile(name)
	if err != nil {
		return nil, err
	}
	root := new(property)
	if err := json.Unmarshal(text, root); err != nil {
		return nil, err
	}
	return &schema{compiled: compiled, root: root}, nil
}

// specDocument names the schema document of a kind's version.
func specDocument(kind Kind, version int) string {
	return fmt.Sprintf("%s.v%d.json", kind, version)
}

// SchemaDocument returns the JSON Schema document of a kind's version.
func SchemaDocument(kind Kind, version int) ([]byte, error) {
	return documents.ReadFile("schema/" + specDocument(kind, version))
}

// check validates text and returns the first broken rule, with its path below
// prefix, or nil.
func (s *schema) check(text []byte, prefix string) *InvalidError {
	value, err := jsonschema.UnmarshalJSON(bytes.NewReader(text))
	if err != nil {
		return &InvalidError{Path: prefix, Rule: err.Error(), Accepted: s.root.Description}
	}
	if invalid := s.root.checkCase(value, prefix); invalid != nil {
		return invalid
	}
	var violation *jsonschema.ValidationError
	if !errors.As(s.compiled.Validate(value), &violation) {
		return nil
	}
	leaf := firstLeaf(violation)
	accepted := s.root.at(leaf.InstanceLocation).Description
	rule := leaf.ErrorKind.LocalizedString(english)
	return &InvalidError{Path: jsonPath(prefix, leaf.InstanceLocation), Rule: rule, Accepted: accepted}
}

// firstLeaf follows the causes to a rule that names a value. Alternatives are
// reported as a whole.
func firstLeaf(violation *jsonschema.ValidationError) *jsonschema.ValidationError {
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

// at returns the deepest described property on the way to a location.
func (p *property) at(location []string) *property {
	for _, step := range location {
		next := p.Properties[step]
		if next == nil {
			next = p.Items
		}
		if next == nil {
			return p
		}
		p = next
	}
	return p
}

// checkCase rejects names that differ from a known one only by case, which
// package json would take for it.
func (p *property) checkCase(value any, path string) *InvalidError {
	switch value := value.(type) {
	case map[string]any:
		return p.checkNames(value, path)
	case []any:
		if p.Items == nil {
			return nil
		}
		for i, item := range value {
			if invalid := p.Items.checkCase(item, jsonPath(path, []string{strconv.Itoa(i)})); invalid != nil {
				return invalid
			}
		}
	}
	return nil
}

func (p *property) checkNames(object map[string]any, path string) *InvalidError {
	for _, name := range slices.Sorted(maps.Keys(object)) {
		value := object[name]
		inner := jsonPath(path, []string{name})
		if known := p.Properties[name]; known != nil {
			if invalid := known.checkCase(value, inner); invalid != nil {
				return invalid
			}
			continue
		}
		for known := range p.Properties {
			if strings.EqualFold(known, name) {
				return &InvalidError{Path: inner, Rule: "the name differs from a known one by case", Accepted: known}
			}
		}
	}
	return nil
}

// jsonPath appends a location to a JSON path.
func jsonPath(prefix string, location []string) string {
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
