// Package fleet collects the state of the fleet from the store, the platform's list of
// instances and the daemons. It is read-only.
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

const (
	// statusTimeout bounds the request for the status of one daemon.
	statusTimeout = 3 * time.Second
	// maxConcurrentRequests bounds the daemons that are queried at the same time.
	maxConcurrentRequests = 16
)

// SlotPrefix is the store prefix of the membership slots.
const SlotPrefix = "fleet/"

// Daemon is the status of one daemon, or the error of requesting it.
type Daemon struct {
	// Address is the admin address, host:port.
	Address string `json:"address"`
	// Status is nil when the request failed.
	Status *status.Daemon `json:"status,omitempty"`
	// Behind is set when the daemon has not reached the revision of the latest record.
	Behind bool `json:"behind"`
	// Error is the reason when Status is nil.
	Error string `json:"error,omitempty"`
}

// Slot is a store entry below SlotPrefix.
type Slot struct {
	Key string `json:"key"`
	// Value is the stored value if that is JSON, and a JSON string with it otherwise.
	Value json.RawMessage `json:"value"`
}

// Report is the state of the fleet.
type Report struct {
	// Latest is the highest revision of a record.
	Latest store.Revision `json:"latest"`
	// Records is the number of records in the store.
	Records int `json:"records"`
	// Rejected lists the records that are not in force as written, with the reasons.
	Rejected  []string            `json:"rejected,omitempty"`
	Instances []platform.Instance `json:"instances"`
	Slots     []Slot              `json:"slots"`
	// Daemons is in the order of the given addresses.
	Daemons []Daemon `json:"daemons,omitempty"`
}

// Healthy reports whether every record is in force as written, and every daemon
// responded, has reached the latest revision and has confirmed that its configuration is
// fresh.
func (r *Report) Healthy() bool {
	for _, daemon := range r.Daemons {
		if daemon.Status == nil || daemon.Behind || daemon.Status.Configuration.Freshness != "fresh" {
			return false
		}
	}
	return len(r.Rejected) == 0
}

// Gather reports on the store, the platform's list of instances and the daemons with the
// given admin addresses. A daemon that does not respond is reported, not an error.
func Gather(ctx context.Context, kv store.Store, instances platform.Instances, admins []string) (*Report, error) {
	report := &Report{}
	if err := report.readRecords(ctx, kv); err != nil {
		return nil, err
	}
	listed, err := instances.Instances(ctx)
	if err != nil {
		return nil, eris.Wrap(err, "read the list of instances")
	}
	report.Instances = listed
	slots, err := kv.List(ctx, SlotPrefix)
	if err != nil {
		return nil, eris.Wrap(err, "list slots")
	}
	for _, entry := range slots.Entries {
		report.Slots = append(report.Slots, Slot{Key: entry.Key, Value: asJSON(entry.Value)})
	}
	report.Daemons = FetchStatuses(ctx, admins)
	for i := range report.Daemons {
		if fetched := report.Daemons[i].Status; fetched != nil {
			report.Daemons[i].Behind = fetched.Configuration.Revision < report.Latest
		}
	}
	return report, nil
}

// readRecords counts the records and the rejected ones among them. It builds a snapshot
// without a previous one, as a daemon that starts now would.
func (r *Report) readRecords(ctx context.Context, kv store.Store) error {
	state, err := change.LoadConfiguration(ctx, kv)
	if err != nil {
		return err
	}
	current, _ := snapshot.Build(nil, state)
	for _, rejection := range current.Rejections() {
		r.Rejected = append(r.Rejected, rejection.Key+": "+rejection.Err.Error())
	}
	r.Records = len(state.Entries)
	for _, entry := range state.Entries {
		r.Latest = max(r.Latest, entry.Revision)
	}
	return nil
}

// asJSON returns a stored value for inclusion in JSON output: as it is when it is valid
// JSON, and as a JSON string otherwise.
func asJSON(value []byte) json.RawMessage {
	if json.Valid(value) {
		return value
	}
	text, _ := json.Marshal(string(value))
	return text
}

// FetchStatuses requests the status of the daemons with the given admin addresses. The
// results are in the order of the addresses.
func FetchStatuses(ctx context.Context, admins []string) []Daemon {
	daemons := make([]Daemon, len(admins))
	var group errgroup.Group
	group.SetLimit(maxConcurrentRequests)
	for i, address := range admins {
		group.Go(func() error {
			daemons[i] = fetchStatus(ctx, address)
			return nil
		})
	}
	_ = group.Wait()
	return daemons
}

// fetchStatus requests the status of one daemon and reports an error as part of the
// result.
func fetchStatus(ctx context.Context, address string) Daemon {
	fetched, err := requestStatus(ctx, address)
	if err != nil {
		return Daemon{Address: address, Error: err.Error()}
	}
	return Daemon{Address: address, Status: fetched}
}

func requestStatus(ctx context.Context, address string) (*status.Daemon, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
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
	fetched := new(status.Daemon)
	if err := json.NewDecoder(response.Body).Decode(fetched); err != nil {
		return nil, eris.Wrapf(err, "decode status of %s", address)
	}
	return fetched, nil
}
