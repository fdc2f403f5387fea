package classify

import "strings"

// verbTags are the first words of the command tags with which the statements that begin
// with a verb can complete. Verbs with many tags are left out.
var verbTags = map[string][]string{
	"select": {"SELECT"}, "values": {"SELECT"}, "table": {"SELECT"},
	"with": {"SELECT", "INSERT", "UPDATE", "DELETE", "MERGE"},
	"show": {"SHOW"}, "explain": {"EXPLAIN"}, "insert": {"INSERT"}, "update": {"UPDATE"}, "delete": {"DELETE"},
	"merge": {"MERGE"}, "copy": {"COPY"}, "set": {"SET"}, "reset": {"RESET"}, "fetch": {"FETCH"}, "call": {"CALL"},
	"do": {"DO"}, "vacuum": {"VACUUM"}, "truncate": {"TRUNCATE"}, "savepoint": {"SAVEPOINT"}, "release": {"RELEASE"},
	"declare": {"DECLARE"},
}

// CanComplete reports whether a text of one statement can complete with the command tag.
func CanComplete(text, tag string) bool {
	s := scanner{text: text}
	first := s.next()
	for first.kind == tokenPunctuation && (first.text == "(" || first.text == ";") {
		first = s.next()
	}
	var word [maxKeywordLength]byte
	tags, known := verbTags[string(appendLower(word[:0], first.text))]
	if !known {
		return true
	}
	tagVerb, _, _ := strings.Cut(tag, " ")
	for _, possible := range tags {
		if tagVerb == possible {
			return true
		}
	}
	return false
}
