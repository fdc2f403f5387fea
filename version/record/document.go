package record

import (
	"bytes"
	"encoding/json"
	"reflect"

	"github.com/rotisserie/eris"
	"samphirehitch.example/samphirehitch/process/store"
)

// MaxBytes is the largest encoded record, in bytes.
const MaxBytes = store.MaxValueBytes

// ChangeID names one change. Its author finds out by it whether a write whose
// answer was lost took effect.
type ChangeID string

// Value is the typed content of a record: Customer, Key, Limit, Service or
// Route.
type Value interface {
	// Kind returns the kind of the record.
	Kind() Kind
	// RecordID returns the id of the record.
	RecordID() string
}

// Document is a record as the store holds it: the envelope and the content.
// Fields that this program does not know are kept when it is encoded again.
type Document struct {
	Kind   Kind
	Schema int
	ID     string
	Change ChangeID
	Author string
	Value  Value

	// members holds the envelope as read, the spec included.
	members map[string]json.RawMessage
}

// envelope is the wire form of the known members.
type envelope struct {
	Kind   Kind            `json:"kind"`
	Schema int             `json:"schema"`
	ID     string          `json:"id"`
	Change ChangeID        `json:"change"`
	Author string          `json:"author"`
	Spec   json.RawMessage `json:"spec"`
}

// New returns a document of the latest schema version for a value.
func New(value Value) *Document {
	kind := value.Kind()
	versions := Versions(kind)
	return &Document{Kind: kind, Schema: versions[len(versions)-1], ID: value.RecordID(), Value: value}
}

// Decode reads a record. It returns an InvalidError, an UnsupportedSchemaError
// or a TooLargeError.
func Decode(data []byte) (*Document, error) {
	if len(data) > MaxBytes {
		return nil, &TooLargeError{Bytes: len(data)}
	}
	if invalid := schemas[envelopeDocument].check(data, "$"); invalid != nil {
		return nil, invalid
	}
	var outer envelope
	if err := json.Unmarshal(data, &outer); err != nil {
		return nil, eris.Wrap(err, "decode envelope")
	}
	document := &Document{Kind: outer.Kind, Schema: outer.Schema, ID: outer.ID, Change: outer.Change, Author: outer.Author}
	codec, err := findCodec(outer)
	if err != nil {
		return nil, err
	}
	if document.Value, err = decodeSpec(codec, outer); err != nil {
		return nil, err
	}
	if err := json.Unmarshal(data, &document.members); err != nil {
		return nil, eris.Wrap(err, "decode members of the envelope")
	}
	return document, nil
}

func findCodec(outer envelope) (codec, error) {
	found, ok := codecs[outer.Kind][outer.Schema]
	if !ok {
		return nil, &UnsupportedSchemaError{Kind: outer.Kind, ID: outer.ID, Schema: outer.Schema, Supported: Versions(outer.Kind)}
	}
	return found, nil
}

func decodeSpec(codec codec, outer envelope) (Value, error) {
	invalid := schemas[specDocument(outer.Kind, outer.Schema)].check(outer.Spec, "$.spec")
	if invalid != nil {
		invalid.Kind, invalid.ID = outer.Kind, outer.ID
		return nil, invalid
	}
	return codec.decode(outer.ID, outer.Spec)
}

// Encode writes the record in its schema version. A spec whose value is
// unchanged is kept as read; otherwise the fields that the schema does not know
// are carried over.
func (d *Document) Encode() ([]byte, error) {
	spec, err := d.encodeSpec()
	if err != nil {
		return nil, err
	}
	outer := envelope{Kind: d.Kind, Schema: d.Schema, ID: d.ID, Change: d.Change, Author: d.Author, Spec: spec}
	known, err := json.Marshal(outer)
	if err != nil {
		return nil, eris.Wrapf(err, "encode record %s", Name(d.Kind, d.ID))
	}
	members := make(map[string]json.RawMessage, len(d.members))
	for name, member := range d.members {
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
	codec, err := findCodec(envelope{Kind: d.Kind, ID: d.ID, Schema: d.Schema})
	if err != nil {
		return nil, err
	}
	read := d.members["spec"]
	if read != nil {
		if value, err := codec.decode(d.ID, read); err == nil && reflect.DeepEqual(value, d.Value) {
			return read, nil
		}
	}
	spec, err := codec.encode(d.Value)
	if err != nil {
		return nil, eris.Wrapf(err, "encode spec of record %s", Name(d.Kind, d.ID))
	}
	root := schemas[specDocument(d.Kind, d.Schema)].root
	return carryUnknown(root, read, spec)
}

// SameContent reports whether two documents differ in nothing but change id and
// author. Fields that this program does not know count as content.
func SameContent(a, b *Document) bool {
	if a.Kind != b.Kind || a.ID != b.ID || a.Schema != b.Schema {
		return false
	}
	first, errFirst := a.unsigned()
	second, errSecond := b.unsigned()
	return errFirst == nil && errSecond == nil && bytes.Equal(first, second)
}

// unsigned encodes the document without change id and author, its members in a
// fixed order.
func (d *Document) unsigned() ([]byte, error) {
	plain := *d
	plain.Change, plain.Author = "", ""
	data, err := plain.Encode()
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

// Withdrawal reports whether data is a key record that says withdrawn. Every
// schema version of keys keeps that member at the same place, so that a program
// which cannot read the rest still stops serving the key.
func Withdrawal(data []byte) bool {
	var peek struct {
		Kind Kind `json:"kind"`
		Spec struct {
			Withdrawn bool `json:"withdrawn"`
		} `json:"spec"`
	}
	if err := json.Unmarshal(data, &peek); err != nil {
		return false
	}
	return peek.Kind == KindKey && peek.Spec.Withdrawn
}
