package record

import (
	"encoding/json"
	"slices"

	"github.com/rotisserie/eris"
)

// carryUnknown returns written with those members of read, at any depth, that
// the schema does not describe. Items of arrays are matched by their id member.
func carryUnknown(schema *property, read, written json.RawMessage) (json.RawMessage, error) {
	if schema == nil || len(read) == 0 {
		return written, nil
	}
	if schema.Items != nil {
		return carryItems(schema.Items, read, written)
	}
	if schema.Properties != nil {
		return carryMembers(schema, read, written)
	}
	return written, nil
}

func carryMembers(schema *property, read, written json.RawMessage) (json.RawMessage, error) {
	var before, after map[string]json.RawMessage
	if json.Unmarshal(read, &before) != nil || json.Unmarshal(written, &after) != nil || after == nil {
		return written, nil
	}
	for name, member := range before {
		known := schema.Properties[name]
		switch current, kept := after[name]; {
		case known == nil:
			after[name] = member
		case kept:
			merged, err := carryUnknown(known, member, current)
			if err != nil {
				return nil, err
			}
			after[name] = merged
		}
	}
	merged, err := json.Marshal(after)
	return merged, eris.Wrap(err, "merge unknown members")
}

func carryItems(schema *property, read, written json.RawMessage) (json.RawMessage, error) {
	var before, after []json.RawMessage
	if json.Unmarshal(read, &before) != nil || json.Unmarshal(written, &after) != nil {
		return written, nil
	}
	byID := make(map[string]json.RawMessage, len(before))
	for _, item := range before {
		if id := itemID(item); id != "" {
			byID[id] = item
		}
	}
	for i, item := range after {
		merged, err := carryUnknown(schema, byID[itemID(item)], item)
		if err != nil {
			return nil, err
		}
		after[i] = merged
	}
	merged, err := json.Marshal(after)
	return merged, eris.Wrap(err, "merge unknown members of items")
}

func itemID(item json.RawMessage) string {
	var named struct {
		ID string `json:"id"`
	}
	if json.Unmarshal(item, &named) != nil {
		return ""
	}
	return named.ID
}

// UnknownFields lists the JSON paths, sorted, of members that the document's
// schema does not describe. They are kept, and may be misspelt.
func (d *Document) UnknownFields() []string {
	var paths []string
	for name := range d.members {
		if schemas[envelopeDocument].root.Properties[name] == nil {
			paths = append(paths, "$."+name)
		}
	}
	if schema := schemas[specDocument(d.Kind, d.Schema)]; schema != nil {
		paths = schema.root.unknown(d.members["spec"], "$.spec", paths)
	}
	slices.Sort(paths)
	return paths
}

func (p *property) unknown(value json.RawMessage, path string, paths []string) []string {
	if p.Items != nil {
		var items []json.RawMessage
		_ = json.Unmarshal(value, &items)
		for _, item := range items {
			paths = p.Items.unknown(item, path+"[]", paths)
		}
		return paths
	}
	if p.Properties == nil {
		return paths
	}
	var members map[string]json.RawMessage
	_ = json.Unmarshal(value, &members)
	for name, member := range members {
		inner := path + "." + name
		if known := p.Properties[name]; known != nil {
			paths = known.unknown(member, inner, paths)
			continue
		}
		paths = append(paths, inner)
	}
	return paths
}
