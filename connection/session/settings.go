package session

import (
	"maps"
	"strings"
)

// replayed are the settings that a caller may change and that are set again on
// each target connection that the session uses.
var replayed = map[string]bool{
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

// Replayable reports whether a setting may be changed by a caller and follows
// the session from one target connection to the next. The name is in lower
// case.
func Replayable(name string) bool { return replayed[name] }

// Settings are the settings that a session has changed: SQL values by name. The
// zero value is empty. Maps are replaced and never changed, so that a copy of
// Settings stays as it was.
type Settings struct {
	values map[string]string
}

// Values returns the settings. The map must not be changed.
func (s Settings) Values() map[string]string { return s.values }

// With returns the settings with one changed. The value is SQL text, which
// follows "SET name ".
func (s Settings) With(name, value string) Settings {
	changed := maps.Clone(s.values)
	if changed == nil {
		changed = make(map[string]string)
	}
	changed[name] = value
	return Settings{changed}
}

// Without returns the settings with one back at its default.
func (s Settings) Without(name string) Settings {
	if _, ok := s.values[name]; !ok {
		return s
	}
	changed := maps.Clone(s.values)
	delete(changed, name)
	return Settings{changed}
}

// QuoteLiteral makes an SQL string literal of a value.
func QuoteLiteral(value string) string {
	quoted := strings.ReplaceAll(value, "'", "''")
	if strings.Contains(quoted, `\`) {
		return " E'" + strings.ReplaceAll(quoted, `\`, `\\`) + "'"
	}
	return "'" + quoted + "'"
}
