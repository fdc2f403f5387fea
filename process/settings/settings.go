// Package settings reads and validates the settings file of samphirehitchd, which
// holds what an instance needs before it can read the configuration from the store.
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

// schemaURI identifies the embedded schema to its compiler.
const schemaURI = "urn:samphirehitch:settings"

// Defaults of optional settings. A test checks that they equal the defaults in
// schema.json.
const (
	defaultStoreTimeoutMillis = 1000
	defaultSlots              = 8
	defaultListLagMillis      = 5000
	defaultSlotLeaseTTLMillis = 600000
	defaultDrainTimeoutMillis = 30000
	defaultLogFormat          = "json"
)

// Settings holds a validated settings file with defaults filled in.
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

// Advertise holds the addresses at which other instances reach this one, where they
// differ from the listen addresses.
type Advertise struct {
	Peers string `json:"peers"`
}

// Store holds the address of the platform's key-value service and the timeout of calls
// to it.
type Store struct {
	Address       string `json:"address"`
	TimeoutMillis int    `json:"timeout_millis"`
}

// Credential is a user and password with which the daemon logs in to targets.
type Credential struct {
	User     string `json:"user"`
	Password string `json:"password"`
}

// TLS holds the certificates for connections from callers and links between daemons.
// Where one is nil, TLS is not used.
type TLS struct {
	Callers *KeyPair `json:"callers"`
	Peers   *KeyPair `json:"peers"`
}

// KeyPair holds the paths of PEM files. Authority, which is used for peers only, holds
// the certificates of the authorities that sign the peers' certificates.
type KeyPair struct {
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
	Authority   string `json:"authority"`
}

// Fleet holds the settings that must be the same on every instance.
type Fleet struct {
	Slots              int `json:"slots"`
	ListLagMillis      int `json:"list_lag_millis"`
	SlotLeaseTTLMillis int `json:"right_term_millis"`
}

// Log configures the log; see package logging.
type Log struct {
	Decisions bool   `json:"decisions"`
	Format    string `json:"format"`
}

// DrainTimeout returns how long a graceful shutdown waits for open requests.
func (s *Settings) DrainTimeout() time.Duration {
	return time.Duration(s.DrainTimeoutMillis) * time.Millisecond
}

// StoreTimeout returns the timeout of one call to the store.
func (s *Settings) StoreTimeout() time.Duration {
	return time.Duration(s.Store.TimeoutMillis) * time.Millisecond
}

// ListLag returns the maximum lag of the platform's list of instances.
func (s *Settings) ListLag() time.Duration {
	return time.Duration(s.Fleet.ListLagMillis) * time.Millisecond
}

// SlotLeaseTTL returns the TTL of a slot lease, which is the time for which an instance
// may use a ledger slot without the store.
func (s *Settings) SlotLeaseTTL() time.Duration {
	return time.Duration(s.Fleet.SlotLeaseTTLMillis) * time.Millisecond
}

// PeerAddress returns the address at which peers reach this instance.
func (s *Settings) PeerAddress() string {
	if s.Advertise.Peers != "" {
		return s.Advertise.Peers
	}
	return s.Listen.Peers
}

// Load reads and validates a settings file. An error names the file, the location in it
// and the rule of the schema that it violates.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "read settings")
	}
	s, err := Parse(data)
	return s, eris.Wrapf(err, "settings file %s", path)
}

// Parse validates a document against the schema and fills in defaults.
func Parse(data []byte) (*Settings, error) {
	if err := validate(data); err != nil {
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
		Fleet:              Fleet{Slots: defaultSlots, ListLagMillis: defaultListLagMillis, SlotLeaseTTLMillis: defaultSlotLeaseTTLMillis},
		Log:                Log{Decisions: true, Format: defaultLogFormat},
		DrainTimeoutMillis: defaultDrainTimeoutMillis,
	}
}

// validate checks a document against the embedded schema.
func validate(data []byte) error {
	schema, err := compileSchema()
	if err != nil {
		return err
	}
	document, err := jsonschema.UnmarshalJSON(bytes.NewReader(data))
	if err != nil {
		return eris.Wrap(err, "parse settings as JSON")
	}
	if err := schema.Validate(document); err != nil {
		return eris.Wrap(err, "validate settings against the schema")
	}
	return nil
}

func compileSchema() (*jsonschema.Schema, error) {
	document, err := jsonschema.UnmarshalJSON(bytes.NewReader(schemaDocument))
	if err != nil {
		return nil, eris.Wrap(err, "parse embedded settings schema")
	}
	compiler := jsonschema.NewCompiler()
	if err := compiler.AddResource(schemaURI, document); err != nil {
		return nil, eris.Wrap(err, "add settings schema")
	}
	schema, err := compiler.Compile(schemaURI)
	return schema, eris.Wrap(err, "compile settings schema")
}
