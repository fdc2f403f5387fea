package record

import (
	"bytes"
	"encoding/json"
	"reflect"

	"github.com/rotisserie/eris"
	"samphirehitch.example/samphirehitch/process/store"
)

// MaxBytes is the maximum size of an encoded record: the store accepts no larger
// value.
const MaxBytes = store.MaxValueBytes

// ChangeID identifies the change that wrote a version of a record. An author whose
// write got no response looks for this ID to learn whether the write took effect.
type ChangeID string

// Value is the typed content of a record: Customer, Key, Limit, Service or
// Route.
type Value interface {
	// Kind returns the kind of the record.
	Kind() Kind
	// RecordID returns the ID of the record.
	RecordID() string
}

// Document is a record as stored: the envelope and the decoded content. Fields that
// this program does not know survive decoding and encoding, so that an older program
// does not delete fields that a newer one has written.
type Document struct {
	Kind Kind
	// Schema is the schema version in which the record is encoded.
	Schema int
	ID     string
	// Change is the change that wrote this version, and Author is who made it. In a
	// record that an operator submits, Change is the version that it is based on.
	Change ChangeID
	Author string
	Value  Value

	// rawMembers holds the members of the envelope as decoded, with the spec. It is
	// nil in a new document.
	rawMembers map[string]json.RawMessage
}

// envelope holds the members of a record that the envelope's schema describes.
type envelope struct {
	Kind   Kind            `json:"kind"`
	Schema int             `json:"schema"`
	ID     string          `json:"id"`
	Change ChangeID        `json:"change"`
	Author string          `json:"author"`
	Spec   json.RawMessage `json:"spec"`
}

// New returns a document for a value, in the latest schema version of its kind.
func New(value Value) *Document {
	kind := value.Kind()
	versions := Versions(kind)
	return &Document{Kind: kind, Schema: versions[len(versions)-1], ID: value.RecordID(), Value: value}
}

// Decode decodes and validates a record. It returns an InvalidError for a record that
// violates its schema, an UnsupportedSchemaError for an unknown kind or schema
// version, and a TooLargeError for more than MaxBytes.
func Decode(data []byte) (*Document, error) {
	if len(data) > MaxBytes {
		return nil, &TooLargeError{Bytes: len(data)}
	}
	if invalid := schemas[envelopeFile].validate(data, "$"); invalid != nil {
		return nil, invalid
	}
	var header envelope
	if err := json.Unmarshal(data, &header); err != nil {
		return nil, eris.Wrap(err, "decode envelope")
	}
	document := &Document{Kind: header.Kind, Schema: header.Schema, ID: header.ID, Change: header.Change, Author: header.Author}
	specCodec, err := findCodec(header)
	if err != nil {
		return nil, err
	}
	if document.Value, err = decodeSpec(specCodec, header); err != nil {
		return nil, err
	}
	if err := json.Unmarshal(data, &document.rawMembers); err != nil {
		return nil, eris.Wrap(err, "decode members of the envelope")
	}
	return document, nil
}

// findCodec returns the codec for the kind and schema version of a record.
func findCodec(header envelope) (codec, error) {
	found, ok := codecs[header.Kind][header.Schema]
	if !ok {
		return nil, &UnsupportedSchemaError{Kind: header.Kind, ID: header.ID, Schema: header.Schema, Supported: Versions(header.Kind)}
	}
	return found, nil
}

// decodeSpec validates the spec against the schema of its kind and version and decodes
// it.
func decodeSpec(specCodec codec, header envelope) (Value, error) {
	invalid := schemas[specFile(header.Kind, header.Schema)].validate(header.Spec, "$.spec")
	if invalid != nil {
		invalid.Kind, invalid.ID = header.Kind, header.ID
		return nil, invalid
	}
	return specCodec.decode(header.ID, header.Spec)
}

// Encode encodes the record in its schema version. When Value still equals the
// decoded spec, the spec is written as it was read. Otherwise the spec is encoded
// again, and the fields of the original that the schema does not describe are merged
// into it.
func (d *Document) Encode() ([]byte, error) {
	spec, err := d.encodeSpec()
	if err != nil {
		return nil, err
	}
	header := envelope{Kind: d.Kind, Schema: d.Schema, ID: d.ID, Change: d.Change, Author: d.Author, Spec: spec}
	known, err := json.Marshal(header)
	if err != nil {
		return nil, eris.Wrapf(err, "encode record %s", Name(d.Kind, d.ID))
	}
	members := make(map[string]json.RawMessage, len(d.rawMembers))
	for name, member := range d.rawMembers {
		members[name] = member
	}
	if err := json.Unmarshal(known, &members); err != nil {
		return nil, eris.Wrapf(err, "merge members of record %s", Name(d.Kind, d.ID))
	}
	data, err := json.Marshal(members)
	if err != nil {
		return nil, eris.Wrapf(err, "encode record %s", Name(d.Kind, d.ID))
	}
	if len(data) > MaxBytes {
		return nil, &TooLargeError{Kind: d.Kind, ID: d.ID, Bytes: len(data)}
	}
	return data, nil
}

func (d *Document) encodeSpec() (json.RawMessage, error) {
	specCodec, err := findCodec(envelope{Kind: d.Kind, ID: d.ID, Schema: d.Schema})
	if err != nil {
		return nil, err
	}
	original := d.rawMembers["spec"]
	if original != nil {
		if value, err := specCodec.decode(d.ID, original); err == nil && reflect.DeepEqual(value, d.Value) {
			return original, nil
		}
	}
	spec, err := specCodec.encode(d.Value)
	if err != nil {
		return nil, eris.Wrapf(err, "encode spec of record %s", Name(d.Kind, d.ID))
	}
	root := schemas[specFile(d.Kind, d.Schema)].root
	return mergeUnknown(root, original, spec)
}

// SameContent reports whether two documents are equal except for change ID and
// author. Fields that this program does not know are compared too.
func SameContent(a, b *Document) bool {
	if a.Kind != b.Kind || a.ID != b.ID || a.Schema != b.Schema {
		return false
	}
	contentA, errA := a.canonicalContent()
	contentB, errB := b.canonicalContent()
	return errA == nil && errB == nil && bytes.Equal(contentA, contentB)
}

// canonicalContent encodes the document without change ID and author. Members of
// objects are sorted by name, so that equal documents give equal bytes.
func (d *Document) canonicalContent() ([]byte, error) {
	content := *d
	content.Change, content.Author = "", ""
	data, err := content.Encode()
	if err != nil {
		return nil, err
	}
	var tree any
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber()
	if err := decoder.Decode(&tree); err != nil {
		return nil, err
	}
	return json.Marshal(tree)
}

// IsWithdrawnKey reports whether data is a key record with the member spec.withdrawn
// set. Every schema version of key records, future ones included, keeps that member
// under this path, so that a program which cannot decode the rest of the record still
// rejects the key.
func IsWithdrawnKey(data []byte) bool {
	var partial struct {
		Kind Kind `json:"kind"`
		Spec struct {
			Withdrawn bool `json:"withdrawn"`
		} `json:"spec"`
	}
	if err := json.Unmarshal(data, &partial); err != nil {
		return false
	}
	return partial.Kind == KindKey && partial.Spec.Withdrawn
}
