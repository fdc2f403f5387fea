// Package settings reads and checks the daemon's settings file. It knows nothing
// of records: those come from the store.
package settings

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"os"
	"time"

	"github.com/rotisserie/eris"
	"github.com/santhosh-tekuri/jsonschema/v6"

	"samphirehitch.example/samphirehitch/process/topology"
)

//go:embed schema.json
var schemaDocument []byte

// schemaName is the name under which the embedded schema is compiled.
const schemaName = "urn:samphirehitch:settings"

// Defaults of optional settings. They repeat the defaults in schema.json, which
// a test compares.
const (
	defaultStoreTimeoutMillis = 1000
	defaultSlots              = 8
	defaultListLagMillis      = 5000
	defaultRightTermMillis    = 600000
	defaultDrainTimeoutMillis = 30000
	defaultLogFormat          = "json"
)

// Settings is a checked settings file with its defaults filled in.
type Settings struct {
	Instance           topology.InstanceID    `json:"instance"`
	FailureDomain      topology.FailureDomain `json:"failure_domain"`
	Listen             Listen                 `json:"listen"`
	Advertise          Advertise              `json:"advertise"`
	Store              Store                  `json:"store"`
	Seeds              []string               `json:"seeds"`
	Credentials        map[string]Credential  `json:"credentials"`
	TLS                TLS                    `json:"tls"`
	Fleet              Fleet                  `json:"fleet"`
	Log                Log                    `json:"log"`
	DrainTimeoutMillis int                    `json:"drain_timeout_millis"`
}

// Listen holds the addresses that the daemon listens on.
type Listen struct {
	Callers string `json:"callers"`
	Peers   string `json:"peers"`
	Admin   string `json:"admin"`
}

// Advertise holds the addresses that others use.
type Advertise struct {
	Peers string `json:"peers"`
}

// Store addresses the platform's key-value service.
type Store struct {
	Address       string `json:"address"`
	TimeoutMillis int    `json:"timeout_millis"`
}

// Credential logs the daemon in to targets.
type Credential struct {
	User     string `json:"user"`
	Password string `json:"password"`
}

// TLS holds certificate files.
type TLS struct {
	Callers *KeyPair `json:"callers"`
	Peers   *KeyPair `json:"peers"`
}

// KeyPair names PEM files. Authority is used for peers only.
type KeyPair struct {
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
	Authority   string `json:"authority"`
}

// Fleet holds what must be the same on every instance.
type Fleet struct {
	Slots           int `json:"slots"`
	ListLagMillis   int `json:"list_lag_millis"`
	RightTermMillis int `json:"right_term_millis"`
}

// Log shapes the log.
type Log struct {
	Decisions bool   `json:"decisions"`
	Format    string `json:"format"`
}

// DrainTimeout is the time that a graceful shutdown gives to open requests.
func (s *Settings) DrainTimeout() time.Duration {
	return time.Duration(s.DrainTimeoutMillis) * time.Millisecond
}

// StoreTimeout is the time that one call to the store may take.
func (s *Settings) StoreTimeout() time.Duration {
	return time.Duration(s.Store.TimeoutMillis) * time.Millisecond
}

// ListLag is the longest lag of the platform's list of instances.
func (s *Settings) ListLag() time.Duration {
	return time.Duration(s.Fleet.ListLagMillis) * time.Millisecond
}

// RightTerm is the time for which a slot may be used without the store.
func (s *Settings) RightTerm() time.Duration {
	return time.Duration(s.Fleet.RightTermMillis) * time.Millisecond
}

// PeerAddress is where peers reach this instance.
func (s *Settings) PeerAddress() string {
	if s.Advertise.Peers != "" {
		return s.Advertise.Peers
	}
	return s.Listen.Peers
}

// Load reads and checks a file. The error names the file, the place in it and
// the rule that it breaks.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "read settings")
	}
	s, err := Parse(data)
	return s, eris.Wrapf(err, "settings file %s", path)
}

// Parse checks a document against the schema and fills in the defaults.
func Parse(data []byte) (*Settings, error) {
	if err := check(data); err != nil {
		return nil, err
	}
	s := defaults()
	if err := json.Unmarshal(data, s); err != nil {
		return nil, eris.Wrap(err, "decode settings")
	}
	return s, nil
}

func defaults() *Settings {
	return &Settings{
		Store:              Store{TimeoutMillis: defaultStoreTimeoutMillis},
		Fleet:              Fleet{Slots: defaultSlots, ListLagMillis: defaultListLagMillis, RightTermMillis: defaultRightTermMillis},
		Log:                Log{Decisions: true, Format: defaultLogFormat},
		DrainTimeoutMillis: defaultDrainTimeoutMillis,
	}
}

// check validates a document against the embedded schema.
func check(data []byte) error {
	schema, err := compile()
	if err != nil {
		return err
	}
	document, err := jsonschema.UnmarshalJSON(bytes.NewReader(data))
	if err != nil {
		return eris.Wrap(err, "settings are not JSON")
	}
	if err := schema.Validate(document); err != nil {
		return eris.Wrap(err, "settings break the schema")
	}
	return nil
}

func compile() (*jsonschema.Schema, error) {
	document, err := jsonschema.UnmarshalJSON(bytes.NewReader(schemaDocument))
	if err != nil {
		return nil, eris.Wrap(err, "read embedded settings schema")
	}
	compiler := jsonschema.NewCompiler()
	if err := compiler.AddResource(schemaName, document); err != nil {
		return nil, eris.Wrap(err, "add settings schema")
	}
	schema, err := compiler.Compile(schemaName)
	return schema, eris.Wrap(err, "compile settings schema")
}
