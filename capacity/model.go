package capacity

import (
	"github.com/rotisserie/eris"
)

// slopeID identifies a measured slope.
type slopeID int

// Slopes of the model.
const (
	configMessages slopeID = iota
	configBytes
	configStoreCalls
	snapshotMemory
	snapshotChange
	ledgerMemory
	idleConnection
	controlProcessor
	controlMemory
	peerBytes
	peerMessages
	serviceProcessor
	serviceMemory
	numSlopes
)

// slopeSource says which benchmark and unit measure a quantity, and what its sizes count.
type slopeSource struct {
	description, benchmark, unit, sizeUnit string
}

// slopeSources holds the source of each slope. The descriptions are titles of plots and
// appear in the page.
var slopeSources = [numSlopes]slopeSource{
	configMessages:   {"configuration messages sent by a daemon", "Fleet/daemons", "messages/daemon/s", "daemons"},
	configBytes:      {"configuration bytes sent by a daemon", "Fleet/daemons", "bytes/daemon/s", "daemons"},
	configStoreCalls: {"calls to the store for configuration, whole fleet", "Fleet/daemons", "storecalls/s", "daemons"},
	snapshotMemory:   {"memory of the records and their snapshot", "SnapshotMemory/records", "retained-B", "records"},
	snapshotChange:   {"processor time of a change of one record", "SnapshotChange/records", "ns/op", "records"},
	ledgerMemory:     {"memory of the rate ledger", "LedgerMemory/customers", "retained-B", "customers"},
	idleConnection:   {"memory of idle callers' connections", "IdleConnection/connections", "retained-B", "connections"},
	controlProcessor: {"processor time of an idle daemon, 3 services", "Control/daemons", "core-percent/daemon", "daemons"},
	controlMemory:    {"resident memory of an idle daemon, 3 services", "Control/daemons", "MB/daemon", "daemons"},
	peerBytes:        {"bytes sent to peers by an idle daemon", "Control/daemons", "peer-B/s/daemon", "daemons"},
	peerMessages:     {"messages sent to peers by an idle daemon", "Control/daemons", "peer-msgs/s/daemon", "daemons"},
	serviceProcessor: {"processor time of an idle daemon, 7 daemons", "ControlOfServices/services", "core-percent/daemon", "services"},
	serviceMemory:    {"resident memory of an idle daemon, 7 daemons", "ControlOfServices/services", "MB/daemon", "services"},
}

// Slope is a measured series and the line fitted to it.
type Slope struct {
	slopeSource
	Series *Series
	Fit    Fit
}

// Model holds the slopes from which Estimates are computed.
type Model struct {
	slopes [numSlopes]Slope
}

// NewModel fits all slopes. It returns an error if a series is missing from the results
// or has too few sizes.
func NewModel(results *Results) (*Model, error) {
	m := &Model{}
	for id, source := range slopeSources {
		series, err := results.Series(source.benchmark, source.unit)
		if err != nil {
			return nil, err
		}
		fit, err := series.FitLine()
		if err != nil {
			return nil, eris.Wrap(err, source.description)
		}
		m.slopes[id] = Slope{source, series, fit}
	}
	return m, nil
}

// Estimate is one quantity computed for a fleet.
type Estimate struct {
	Role, Quantity, Formula, Unit string
	Value                         float64
	// Limit is the upper bound that users state, or zero if there is none.
	Limit float64
}

// Limits that users state for the control work of a daemon and for the load of the store,
// and the constants of the model.
const (
	limitCorePercent          = 3.3
	limitMemoryMB             = 32
	limitBytesPerSecond       = 16_000
	limitStoreReadsPerSecond  = 2000
	limitStoreWritesPerSecond = 300
	bytesPerMB                = 1 << 20
	// nanosPerCorePercent is the processor time per second that is 1 % of a core.
	nanosPerCorePercent = 1e7
	// heartbeatsPerSecond is the rate at which a watcher requests the status of an
	// idle member.
	heartbeatsPerSecond = 1 / 0.150
	// storeCallsPerChange counts the store calls that change one record: the list of
	// samphirehitchctl, and a read and a compare-and-swap each for the record
	// and its history.
	storeCallsPerChange = 5
)

// fittedValue returns the value of a slope's line at a size.
func (m *Model) fittedValue(id slopeID, size float64) float64 { return m.slopes[id].Fit.ValueAt(size) }

// slope returns the increase of a quantity per unit of size.
func (m *Model) slope(id slopeID) float64 { return m.slopes[id].Fit.Slope }

// Estimates computes all quantities for a size. Daemons exchange configuration and
// heartbeats with those of their own region, so that these costs are taken at the number
// of daemons in a region.
func (m *Model) Estimates(s Size) []Estimate {
	daemonsPerRegion := s.DaemonsPerRegion()
	customersPerRegion := s.GroupsPerRegion() * s.CustomersPerGroup
	changesPerRegion := s.ChangesPerSecond() / s.Regions
	groupsWatched := s.GroupsWatchedPerDaemon()
	changeCorePercent := m.fittedValue(snapshotChange, s.RecordsPerRegion()) * changesPerRegion / nanosPerCorePercent
	watchCorePercent := m.slope(serviceProcessor) * groupsWatched
	baseCorePercent := m.slopes[controlProcessor].Fit.Intercept
	return []Estimate{
		{"entry daemon", "idle callers' connections (data, not control)", "connections a daemon × slope", "MB", m.slope(idleConnection) * s.ConnectionsPerDaemon() / bytesPerMB, 0},
		{"entry daemon", "records of its region", "records a region × slope", "MB", m.slope(snapshotMemory) * s.RecordsPerRegion() / bytesPerMB, limitMemoryMB},
		{"entry daemon", "records of all regions, if they were not split", "records × slope", "MB", m.slope(snapshotMemory) * s.Groups() * s.RecordsPerGroup / bytesPerMB, limitMemoryMB},
		{"entry daemon", "changes of its region's records", "changes a second a region × fitted time of a change", "% of a core", changeCorePercent, limitCorePercent},
		{"configuration relay", "messages sent", "fit at the daemons of a region", "1/s", m.fittedValue(configMessages, daemonsPerRegion), 0},
		{"configuration relay", "bytes sent", "fit at the daemons of a region", "B/s", m.fittedValue(configBytes, daemonsPerRegion), limitBytesPerSecond},
		{"group observer", "groups watched by a daemon", "groups × watchers / daemons", "groups", groupsWatched, 0},
		{"group observer", "status requests, heartbeats and rounds of an idle group", "groups watched × slope by services", "% of a core", watchCorePercent, limitCorePercent},
		{"group observer", "memory", "groups watched × slope by services", "MB", m.slope(serviceMemory) * groupsWatched, limitMemoryMB},
		{"rate-ledger holder", "memory for the customers of its region", "customers a region × slope", "MB", m.slope(ledgerMemory) * customersPerRegion / bytesPerMB, limitMemoryMB},
		{"entry daemon", "control in all", "intercept + changes + observer", "% of a core", baseCorePercent + changeCorePercent + watchCorePercent, limitCorePercent},
		{"entry daemon", "bytes to peers with a heartbeat to every daemon of its region", "fit at the daemons of a region", "B/s", m.fittedValue(peerBytes, daemonsPerRegion), limitBytesPerSecond},
		{"entry daemon", "messages to peers with a heartbeat to every daemon of its region", "fit at the daemons of a region", "1/s", m.fittedValue(peerMessages, daemonsPerRegion), 0},
		{"store", "configuration calls of a region", "fit at the daemons of a region", "1/s", m.fittedValue(configStoreCalls, daemonsPerRegion), limitStoreReadsPerSecond / s.Regions},
		{"store", "writes of operators", "changes a second", "1/s", s.ChangesPerSecond(), limitStoreWritesPerSecond},
		{"target", "status requests of its watchers", "watchers × heartbeats a second", "1/s", s.WatchersPerGroup * heartbeatsPerSecond, 0},
		{"operator tool", "calls to the store", "changes a second × 5 calls", "1/s", s.ChangesPerSecond() * storeCallsPerChange, limitStoreWritesPerSecond},
		{"store", "starts of daemons", "replacements a second", "1/s", s.ReplacementsPerSecond(), limitStoreReadsPerSecond},
	}
}
