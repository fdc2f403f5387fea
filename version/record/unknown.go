package record

import (
	"encoding/json"
	"slices"

	"github.com/rotisserie/eris"
)

// mergeUnknown returns encoded with the members of original, at any depth, that the
// schema node does not describe. Items of arrays are matched by their id member.
func mergeUnknown(node *schemaNode, original, encoded json.RawMessage) (json.RawMessage, error) {
	if node == nil || len(original) == 0 {
		return encoded, nil
	}
	if node.Items != nil {
		return mergeUnknownItems(node.Items, original, encoded)
	}
	if node.Properties != nil {
		return mergeUnknownMembers(node, original, encoded)
	}
	return encoded, nil
}

func mergeUnknownMembers(node *schemaNode, original, encoded json.RawMessage) (json.RawMessage, error) {
	var originalMembers, encodedMembers map[string]json.RawMessage
	if json.Unmarshal(original, &originalMembers) != nil || json.Unmarshal(encoded, &encodedMembers) != nil || encodedMembers == nil {
		return encoded, nil
	}
	for name, member := range originalMembers {
		known := node.Properties[name]
		switch current, present := encodedMembers[name]; {
		case known == nil:
			encodedMembers[name] = member
		case present:
			merged, err := mergeUnknown(known, member, current)
			if err != nil {
				return nil, err
			}
			encodedMembers[name] = merged
		}
	}
	merged, err := json.Marshal(encodedMembers)
	return merged, eris.Wrap(err, "merge unknown members")
}

func mergeUnknownItems(node *schemaNode, original, encoded json.RawMessage) (json.RawMessage, error) {
	var originalItems, encodedItems []json.RawMessage
	if json.Unmarshal(original, &originalItems) != nil || json.Unmarshal(encoded, &encodedItems) != nil {
		return encoded, nil
	}
	byID := make(map[string]json.RawMessage, len(originalItems))
	for _, item := range originalItems {
		if id := itemID(item); id != "" {
			byID[id] = item
		}
	}
	for i, item := range encodedItems {
		merged, err := mergeUnknown(node, byID[itemID(item)], item)
		if err != nil {
			return nil, err
		}
		encodedItems[i] = merged
	}
	merged, err := json.Marshal(encodedItems)
	return merged, eris.Wrap(err, "merge unknown members of items")
}

// itemID returns the id member of an array item, or an empty string.
func itemID(item json.RawMessage) string {
	var identified struct {
		ID string `json:"id"`
	}
	if json.Unmarshal(item, &identified) != nil {
		return ""
	}
	return identified.ID
}

// UnknownFields returns the sorted JSON paths of the decoded members that the
// document's schema does not describe: fields of a newer release, or misspelled names.
// They are preserved by Encode and otherwise have no effect.
func (d *Document) UnknownFields() []string {
	var paths []string
	for name := range d.rawMembers {
		if schemas[envelopeFile].root.Properties[name] == nil {
			paths = append(paths, "$."+name)
		}
	}
	if specSchema := schemas[specFile(d.Kind, d.Schema)]; specSchema != nil {
		paths = specSchema.root.unknownPaths(d.rawMembers["spec"], "$.spec", paths)
	}
	slices.Sort(paths)
	return paths
}

// unknownPaths appends the paths of the members of value that the node does not
// describe.
func (node *schemaNode) unknownPaths(value json.RawMessage, path string, paths []string) []string {
	if node.Items != nil {
		var items []json.RawMessage
		_ = json.Unmarshal(value, &items)
		for _, item := range items {
			paths = node.Items.unknownPaths(item, path+"[]", paths)
		}
		return paths
	}
	if node.Properties == nil {
		return paths
	}
	var members map[string]json.RawMessage
	_ = json.Unmarshal(value, &members)
	for name, member := range members {
		memberPath := path + "." + name
		if known := node.Properties[name]; known != nil {
			paths = known.unknownPaths(member, memberPath, paths)
			continue
		}
		paths = append(paths, memberPath)
	}
	return paths
}
