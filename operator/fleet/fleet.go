// Package fleet gathers what the daemons and the store say about the fleet. It
// changes nothing.
package fleet

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
	"samphirehitch.example/samphirehitch/operator/change"
	"samphirehitch.example/samphirehitch/process/platform"
	"samphirehitch.example/samphirehitch/process/status"
	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/version/snapshot"
)

// Bounds of the questions to daemons.
const (
	daemonTimeout     = 3 * time.Second
	parallelQuestions = 16
)

// SlotPrefix is the store prefix of the fleet's slots.
const SlotPrefix = "fleet/"

// Daemon is the answer of one daemon.
type Daemon struct {
	// Address is the admin address, host:port.
	Address string         `json:"address"`
	Status  *status.Daemon `json:"status,omitempty"`
	// Behind is set when the daemon's configuration is older than the store's.
	Behind bool `json:"behind"`
	// Error says why there is no status.
	Error string `json:"error,omitempty"`
}

// Slot is a key of the fleet's slots, as stored.
type Slot struct {
	Key   string          `json:"key"`
	Value json.RawMessage `json:"value"`
}

// Report is the state of the fleet.
type Report struct {
	// Latest is the revision of the last record written.
	Latest    store.Revision      `json:"latest"`
	Records   int                 `json:"records"`
	Rejected  []string            `json:"rejected,omitempty"`
	Instances []platform.Instance `json:"instances"`
	Slots     []Slot              `json:"slots"`
	Daemons   []Daemon            `json:"daemons,omitempty"`
}

// InOrder reports whether every record takes effect and every daemon answered,
// holds the latest configuration and knows that it is fresh.
func (r *Report) InOrder() bool {
	for _, daemon := range r.Daemons {
		if daemon.Status == nil || daemon.Behind || daemon.Status.Configuration.Freshness != "fresh" {
			return false
		}
	}
	return len(r.Rejected) == 0
}

// Gather reads the store, the platform's list and the daemons at some admin
// addresses. A daemon that does not answer is part of the report.
func Gather(ctx context.Context, kv store.Store, instances platform.Instances, admins []string) (*Report, error) {
	report := &Report{}
	if err := report.readRecords(ctx, kv); err != nil {
		return nil, err
	}
	list, err := instances.Instances(ctx)
	if err != nil {
		return nil, eris.Wrap(err, "read the list of instances")
	}
	report.Instances = list
	slots, err := kv.List(ctx, SlotPrefix)
	if err != nil {
		return nil, eris.Wrap(err, "list slots")
	}
	for _, entry := range slots.Entries {
		report.Slots = append(report.Slots, Slot{Key: entry.Key, Value: jsonOrText(entry.Value)})
	}
	report.Daemons = Ask(ctx, admins)
	for i := range report.Daemons {
		if seen := report.Daemons[i].Status; seen != nil {
			report.Daemons[i].Behind = seen.Configuration.Revision < report.Latest
		}
	}
	return report, nil
}

func (r *Report) readRecords(ctx context.Context, kv store.Store) error {
	state, err := change.LoadConfiguration(ctx, kv)
	if err != nil {
		return err
	}
	built, _ := snapshot.Build(nil, state)
	for _, rejection := range built.Rejections() {
		r.Rejected = append(r.Rejected, rejection.Key+": "+rejection.Err.Error())
	}
	r.Records = len(state.Entries)
	for _, entry := range state.Entries {
		r.Latest = max(r.Latest, entry.Revision)
	}
	return nil
}

func jsonOrText(value []byte) json.RawMessage {
	if json.Valid(value) {
		return value
	}
	text, _ := json.Marshal(string(value))
	return text
}

// Ask requests the status of the daemons at some admin addresses, in their
// order.
func Ask(ctx context.Context, admins []string) []Daemon {
	daemons := make([]Daemon, len(admins))
	var group errgroup.Group
	group.SetLimit(parallelQuestions)
	for i, address := range admins {
		group.Go(func() error {
			daemons[i] = askOne(ctx, address)
			return nil
		})
	}
	_ = group.Wait()
	return daemons
}

func askOne(ctx context.Context, address string) Daemon {
	seen, err := fetch(ctx, address)
	if err != nil {
		return Daemon{Address: address, Error: err.Error()}
	}
	return Daemon{Address: address, Status: seen}
}

func fetch(ctx context.Context, address string) (*status.Daemon, error) {
	ctx, cancel := context.WithTimeout(ctx, daemonTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/status", nil)
	if err != nil {
		return nil, eris.Wrapf(err, "request status of %s", address)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, eris.Wrapf(err, "request status of %s", address)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, eris.Errorf("status of %s: HTTP %s", address, response.Status)
	}
	seen := new(status.Daemon)
	if err := json.NewDecoder(response.Body).Decode(seen); err != nil {
		return nil, eris.Wrapf(err, "decode status of %s", address)
	}
	return seen, nil
}
