package record

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/rotisserie/eris"
)

// codec converts between the JSON spec of one schema version and the typed value.
// Each schema version of a kind has its own codec; all codecs of a kind share one
// value type, so that the rest of the program does not depend on the version.
type codec interface {
	decode(id string, spec json.RawMessage) (Value, error)
	encode(value Value) (json.RawMessage, error)
}

// wireCodec is a codec that converts through W, the struct with the JSON fields of
// one schema version.
type wireCodec[W any, V Value] struct {
	toValue func(wire W, id string) (V, error)
	toWire  func(value V) W
}

func (c wireCodec[W, V]) decode(id string, spec json.RawMessage) (Value, error) {
	var wire W
	if err := json.Unmarshal(spec, &wire); err != nil {
		return nil, eris.Wrapf(err, "decode spec of record %s", id)
	}
	value, err := c.toValue(wire, id)
	if err != nil {
		return nil, err
	}
	return value, nil
}

func (c wireCodec[W, V]) encode(value Value) (json.RawMessage, error) {
	typed, ok := value.(V)
	if !ok {
		return nil, eris.Errorf("codec cannot encode a value of kind %s", value.Kind())
	}
	return json.Marshal(c.toWire(typed))
}

// codecs holds the codec of each supported schema version, by kind. It is not
// changed after startup.
var codecs = map[Kind]map[int]codec{
	KindCustomer: {1: wireCodec[customerV1, Customer]{customerV1.toValue, newCustomerV1}},
	KindKey:      {1: wireCodec[keyV1, Key]{keyV1.toValue, newKeyV1}},
	KindLimit: {
		1: wireCodec[limitV1, Limit]{limitV1.toValue, newLimitV1},
		2: wireCodec[limitV2, Limit]{limitV2.toValue, newLimitV2},
	},
	KindService: {
		1: wireCodec[serviceV1, Service]{serviceV1.toValue, newServiceV1},
		2: wireCodec[serviceV2, Service]{serviceV2.toValue, newServiceV2},
	},
	KindRoute: {1: wireCodec[routeV1, Route]{routeV1.toValue, newRouteV1}},
}

// Kinds returns the supported kinds, sorted.
func Kinds() []Kind { return slices.Sorted(maps.Keys(codecs)) }

// Versions returns the supported schema versions of a kind, sorted.
func Versions(kind Kind) []int { return slices.Sorted(maps.Keys(codecs[kind])) }
