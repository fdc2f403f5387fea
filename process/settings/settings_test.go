package settings

import (
	"encoding/json"
	"strings"
	"testing"
)

const minimalDocument = `{
  "instance": "entry-1", "failure_domain": "kottayam",
  "listen": {"callers": "127.0.0.1:1", "peers": "127.0.0.1:2", "admin": "127.0.0.1:3"},
  "store": {"address": "127.0.0.1:4"},
  "credentials": {"main": {"user": "u", "password": "p"}}
}`

func TestDefaultsAreFilledIn(t *testing.T) {
	s, err := Parse([]byte(minimalDocument))
	if err != nil {
		t.Fatal(err)
	}
	if s.PeerAddress() != "127.0.0.1:2" || s.StoreTimeout().Milliseconds() != 1000 || !s.Log.Decisions {
		t.Fatalf("defaults were not filled in: %+v", s)
	}
}

func TestDefaultsEqualThoseOfTheSchema(t *testing.T) {
	type property struct {
		Default    *json.RawMessage    `json:"default"`
		Properties map[string]property `json:"properties"`
	}
	var schema property
	if err := json.Unmarshal(schemaDocument, &schema); err != nil {
		t.Fatal(err)
	}
	encoded, err := json.Marshal(defaults())
	if err != nil {
		t.Fatal(err)
	}
	var compare func(path string, p property, value json.RawMessage)
	compare = func(path string, p property, value json.RawMessage) {
		if p.Default != nil && string(*p.Default) != "[]" && string(*p.Default) != string(value) {
			t.Errorf("%s: default is %s in the schema, %s in the code", path, *p.Default, value)
		}
		if len(p.Properties) == 0 {
			return
		}
		var fields map[string]json.RawMessage
		if json.Unmarshal(value, &fields) != nil {
			return
		}
		for name, child := range p.Properties {
			compare(path+"."+name, child, fields[name])
		}
	}
	compare("", schema, encoded)
}

func TestErrorNamesTheInvalidSetting(t *testing.T) {
	for _, c := range []struct{ name, from, to, want string }{
		{"unknown key", `"instance"`, `"colour": 1, "instance"`, "colour"},
		{"wrong type", `"127.0.0.1:4"`, `7`, "/store/address"},
		{"out of bounds", `"127.0.0.1:4"`, `"x", "timeout_millis": 1`, "/store/timeout_millis"},
		{"missing", `"failure_domain": "kottayam",`, ``, "failure_domain"},
		{"not JSON", `{`, `[`, "JSON"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse([]byte(strings.Replace(minimalDocument, c.from, c.to, 1)))
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Fatalf("error %v does not name %q", err, c.want)
			}
		})
	}
}
