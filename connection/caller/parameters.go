package caller

import (
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"samphirehitch.example/samphirehitch/connection/session"
	"samphirehitch.example/samphirehitch/connection/sqlstate"
)

// Startup parameters that samphirehitch interprets itself.
const (
	parameterToken      = "samphirehitch.token"
	parameterSession    = "samphirehitch.session"
	parameterMaxAge     = "samphirehitch.max_age"
	parameterIdempotent = "samphirehitch.idempotent"
)

// maxSessionNameBytes bounds the value of parameterSession.
const maxSessionNameBytes = 128

// applyStartupParameters applies the startup parameters to the session. The
// route's maximum age is the default of parameterMaxAge.
func (c *connection) applyStartupParameters(parameters map[string]string) error {
	s := c.session
	if s.Route.MaxAgeMillis > 0 {
		s.SetMaxAge(time.Duration(s.Route.MaxAgeMillis) * time.Millisecond)
	}
	merged, err := mergeOptions(parameters)
	if err != nil {
		return err
	}
	for name, value := range merged {
		if err := c.applyParameter(strings.ToLower(name), value); err != nil {
			return err
		}
	}
	s.Floor = c.server.deps.NewFloor()
	token := merged[parameterToken]
	if token == "" {
		return nil
	}
	if err := s.ApplyToken(token); err != nil {
		return &FatalError{Code: sqlstate.InvalidParameterValue, Message: "the token is not valid"}
	}
	return nil
}

// applyParameter applies one startup parameter, except the token, which raises
// the session's floor once that exists.
func (c *connection) applyParameter(name, value string) error {
	s := c.session
	invalid := &FatalError{Code: sqlstate.InvalidParameterValue, Message: "invalid value for start-up parameter " + name}
	switch name {
	case "user", "database", "application_name", parameterToken:
		return nil
	case "client_encoding":
		if !isUTF8(value) {
			return &FatalError{Code: sqlstate.FeatureNotSupported, Message: "only the encoding UTF8 is supported"}
		}
	case parameterSession:
		if len(value) > maxSessionNameBytes {
			return invalid
		}
		s.Name = value
	case parameterMaxAge:
		maxAge, err := time.ParseDuration(value)
		if err != nil || maxAge < 0 {
			return invalid
		}
		s.SetMaxAge(maxAge)
	case parameterIdempotent:
		enabled, ok := parseBool(value)
		if !ok {
			return invalid
		}
		s.Idempotent = enabled
	default:
		return c.applySetting(name, value)
	}
	return nil
}

// applySetting records a setting to be set on the target connections that the
// session uses. It refuses settings that cannot be replayed and ignores protocol
// options, which negotiateProtocol has reported as unknown.
func (c *connection) applySetting(name, value string) error {
	if strings.HasPrefix(name, "_pq_.") {
		return nil
	}
	if !session.IsReplayable(name) {
		return &FatalError{Code: sqlstate.FeatureNotSupported, Message: "start-up parameter is not supported: " + name}
	}
	literal, ok := session.SettingLiteral(name, value)
	if !ok {
		return &FatalError{Code: sqlstate.InvalidParameterValue, Message: "invalid value for start-up parameter " + name}
	}
	c.session.Settings = c.session.Settings.With(name, "TO "+literal)
	return nil
}

// mergeOptions returns the parameters with "options" replaced by the settings in
// it, which are command-line switches of the forms "-c name=value",
// "-cname=value" and "--name=value".
func mergeOptions(parameters map[string]string) (map[string]string, error) {
	options, ok := parameters["options"]
	if !ok {
		return parameters, nil
	}
	merged := make(map[string]string, len(parameters))
	for name, value := range parameters {
		if name != "options" {
			merged[name] = value
		}
	}
	words := strings.Fields(options)
	for i := 0; i < len(words); i++ {
		word := strings.TrimPrefix(words[i], "--")
		if strings.HasPrefix(word, "-c") {
			word = word[len("-c"):]
			if word == "" && i+1 < len(words) {
				i++
				word = words[i]
			}
		}
		name, value, found := strings.Cut(word, "=")
		if !found {
			return nil, &FatalError{Code: sqlstate.InvalidParameterValue, Message: "invalid start-up parameter options"}
		}
		merged[strings.ToLower(name)] = value
	}
	return merged, nil
}

// isUTF8 reports whether a value of client_encoding is accepted as UTF8, in any
// spelling. UNICODE and AUTO are accepted too.
func isUTF8(encoding string) bool {
	normalized := strings.NewReplacer("-", "", "_", "", "'", "", `"`, "").Replace(strings.ToUpper(encoding))
	return normalized == "UTF8" || normalized == "UNICODE" || normalized == "AUTO"
}

// parseBool parses a boolean parameter. It returns false for ok if the value is not
// a boolean.
func parseBool(value string) (enabled, ok bool) {
	switch strings.ToLower(value) {
	case "on", "true", "yes", "1":
		return true, true
	case "off", "false", "no", "0":
		return false, true
	default:
		return false, false
	}
}

// startupParameterStatuses returns the parameters that PostgreSQL reports to
// drivers after authentication.
func (c *connection) startupParameterStatuses(parameters map[string]string) []pgproto3.ParameterStatus {
	return []pgproto3.ParameterStatus{
		{Name: "server_version", Value: c.server.config.ServerVersion},
		{Name: "server_encoding", Value: "UTF8"},
		{Name: "client_encoding", Value: "UTF8"},
		{Name: "application_name", Value: parameters["application_name"]},
		{Name: "DateStyle", Value: orDefault(parameters["DateStyle"], "ISO, MDY")},
		{Name: "IntervalStyle", Value: "postgres"},
		{Name: "TimeZone", Value: orDefault(parameters["TimeZone"], defaultTimeZone)},
		{Name: "integer_datetimes", Value: "on"},
		{Name: "standard_conforming_strings", Value: "on"},
		{Name: "is_superuser", Value: "off"},
		{Name: "in_hot_standby", Value: "off"},
		{Name: "default_transaction_read_only", Value: "off"},
	}
}

func orDefault(value, fallback string) string {
	if value == "" {
		return fallback
	}
	return value
}
