package session

import (
	"maps"
	"strings"
)

// replayableSettings are the settings that a caller may change. They are set again
// on each target connection that the session uses.
var replayableSettings = map[string]bool{
	"search_path":                         true,
	"statement_timeout":                   true,
	"lock_timeout":                        true,
	"idle_in_transaction_session_timeout": true,
	"timezone":                            true,
	"datestyle":                           true,
	"intervalstyle":                       true,
	"extra_float_digits":                  true,
	"bytea_output":                        true,
	"work_mem":                            true,
	"enable_seqscan":                      true,
	"plan_cache_mode":                     true,
	"default_transaction_isolation":       true,
	"client_min_messages":                 true,
}

// IsReplayable reports whether a caller may change the setting, which is then set
// again on each target connection that the session uses. The name is in lower case.
func IsReplayable(name string) bool { return replayableSettings[name] }

// Settings holds the settings that a session has changed. It is immutable, so that
// copies can share the map. The zero value is empty.
type Settings struct {
	// sqlValues holds for each name the SQL text that follows "SET name".
	sqlValues map[string]string
}

// Values returns the SQL values by name. The map must not be changed.
func (s Settings) Values() map[string]string { return s.sqlValues }

// With returns the settings with one set. The value is the SQL text that follows
// "SET name", such as "TO 'value'".
func (s Settings) With(name, value string) Settings {
	changed := maps.Clone(s.sqlValues)
	if changed == nil {
		changed = make(map[string]string)
	}
	changed[name] = value
	return Settings{changed}
}

// Without returns the settings with one reset to its default.
func (s Settings) Without(name string) Settings {
	if _, ok := s.sqlValues[name]; !ok {
		return s
	}
	changed := maps.Clone(s.sqlValues)
	delete(changed, name)
	return Settings{changed}
}

// QuoteLiteral returns the value as an SQL string literal. One with backslashes
// uses the escape syntax (E'...'), whose meaning does not depend on the setting
// standard_conforming_strings.
func QuoteLiteral(value string) string {
	quoted := strings.ReplaceAll(value, "'", "''")
	if strings.Contains(quoted, `\`) {
		return " E'" + strings.ReplaceAll(quoted, `\`, `\\`) + "'"
	}
	return "'" + quoted + "'"
}

// SettingLiteral returns the SQL text of a setting's value as it is given at start-up, and false
// for one that a target refuses. A search path is a list, whose parts SET takes as literals of
// their own; other settings take one.
func SettingLiteral(name, value string) (string, bool) {
	if name != "search_path" || strings.Trim(value, listSpace) == "" {
		return QuoteLiteral(value), true
	}
	var literals []string
	for {
		identifier, rest, ok := cutIdentifier(strings.TrimLeft(value, listSpace))
		if !ok {
			return "", false
		}
		literals = append(literals, QuoteLiteral(identifier))
		rest = strings.TrimLeft(rest, listSpace)
		if rest == "" {
			return strings.Join(literals, ", "), true
		}
		if rest[0] != ',' {
			return "", false
		}
		value = rest[1:]
	}
}

// listSpace is the white space around the parts of a list.
const listSpace = " \t\n\r\f\v"

// cutIdentifier cuts an identifier, in lower case unless quoted, from the front of a list. It
// returns false if there is none.
func cutIdentifier(list string) (identifier, rest string, ok bool) {
	if !strings.HasPrefix(list, `"`) {
		end := strings.IndexAny(list, ","+listSpace)
		if end < 0 {
			end = len(list)
		}
		return strings.ToLower(list[:end]), list[end:], end > 0
	}
	rest = list[1:]
	for {
		part, after, closed := strings.Cut(rest, `"`)
		identifier += part
		if !closed {
			return "", "", false
		}
		if !strings.HasPrefix(after, `"`) {
			return identifier, after, identifier != ""
		}
		identifier += `"`
		rest = after[1:]
	}
}
