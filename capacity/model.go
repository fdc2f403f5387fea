package capacity

import (
	"github.com/rotisserie/eris"
)

// slopeID names a measured slope.
type slopeID int

// Slopes that the model multiplies by counts.
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
	slopeCount
)

// slopeSource says where a slope is measured.
type slopeSource struct {
	what, benchmark, unit, size string
}

var slopeSources = [slopeCount]slopeSource{
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

// Slope is a measured series with its fit.
type Slope struct {
	slopeSource
	Series *Series
	Fit    Fit
}

// Model holds every slope.
type Model struct {
	slopes [slopeCount]Slope
}

// NewModel fits every slope that the model needs.
func NewModel(results *Results) (*Model, error) {
	m := &Model{}
	for id, source := range slopeSources {
		series, err := results.Series(source.benchmark, source.unit)
		if err != nil {
			return nil, err
		}
		fit, err := series.Line()
		if err != nil {
			return nil, eris.Wrap(err, source.what)
		}
		m.slopes[id] = Slope{source, series, fit}
	}
	return m, nil
}

// Row is one worked-out quantity.
type Row struct {
	Role, Quantity, Formula, Unit string
	Value                         float64
	// Limit is the stated bound, or zero where there is none.
	Limit float64
}

// Limits that the users state for the control work of a daemon and the store.
const (
	limitCorePercent  = 3.3
	limitMemoryMB     = 32
	limitBytesPerSec  = 16_000
	limitStoreReads   = 2000
	limitStoreWrites  = 300
	bytesPerMB        = 1 << 20
	nanosPerCorePoint = 1e7
	// heartbeatsPerSecond is how often a watcher asks an idle member for its
	// status.
	heartbeatsPerSecond = 1 / 0.150
	// callsPerChange counts the calls of a changed record: two reads and two
	// swaps, its history's included, and the list of its command.
	callsPerChange = 5
)

// at returns a fitted value.
func (m *Model) at(id slopeID, size float64) float64 { return m.slopes[id].Fit.At(size) }

// per returns a slope.
func (m *Model) per(id slopeID) float64 { return m.slopes[id].Fit.Slope }

// Work out every row for a size. Scope is the number of daemons that exchange
// configuration with each other.
func (m *Model) Rows(s Size) []Row {
	region := s.DaemonsPerRegion()
	customers := s.GroupsPerRegion() * s.CustomersPerGroup
	changes := s.ChangesPerSecond() / s.Regions
	watched := s.GroupsWatchedPerDaemon()
	changeCost := m.at(snapshotChange, s.RecordsPerRegion()) * changes / nanosPerCorePoint
	watchCost := m.per(serviceProcessor) * watched
	base := m.slopes[controlProcessor].Fit.Intercept
	return []Row{
		{"entry daemon", "idle callers' connections (data, not control)", "connections a daemon × slope", "MB", m.per(idleConnection) * s.ConnectionsPerDaemon() / bytesPerMB, 0},
		{"entry daemon", "records of its region", "records a region × slope", "MB", m.per(snapshotMemory) * s.RecordsPerRegion() / bytesPerMB, limitMemoryMB},
		{"entry daemon", "records of all regions, if they were not split", "records × slope", "MB", m.per(snapshotMemory) * s.Groups() * s.RecordsPerGroup / bytesPerMB, limitMemoryMB},
		{"entry daemon", "changes of its region's records", "changes a second a region × fitted time of a change", "% of a core", changeCost, limitCorePercent},
		{"configuration relay", "messages sent", "fit at the daemons of a region", "1/s", m.at(configMessages, region), 0},
		{"configuration relay", "bytes sent", "fit at the daemons of a region", "B/s", m.at(configBytes, region), limitBytesPerSec},
		{"group observer", "groups watched by a daemon", "groups × watchers / daemons", "groups", watched, 0},
		{"group observer", "status requests, heartbeats and rounds of an idle group", "groups watched × slope by services", "% of a core", watchCost, limitCorePercent},
		{"group observer", "memory", "groups watched × slope by services", "MB", m.per(serviceMemory) * watched, limitMemoryMB},
		{"rate-ledger holder", "memory for the customers of its region", "customers a region × slope", "MB", m.per(ledgerMemory) * customers / bytesPerMB, limitMemoryMB},
		{"entry daemon", "control in all", "intercept + changes + observer", "% of a core", base + changeCost + watchCost, limitCorePercent},
		{"entry daemon", "bytes to peers with a heartbeat to every daemon of its region", "fit at the daemons of a region", "B/s", m.at(peerBytes, region), limitBytesPerSec},
		{"entry daemon", "messages to peers with a heartbeat to every daemon of its region", "fit at the daemons of a region", "1/s", m.at(peerMessages, region), 0},
		{"store", "configuration calls of a region", "fit at the daemons of a region", "1/s", m.at(configStoreCalls, region), limitStoreReads / s.Regions},
		{"store", "writes of operators", "changes a second", "1/s", s.ChangesPerSecond(), limitStoreWrites},
		{"target", "status requests of its watchers", "watchers × heartbeats a second", "1/s", s.WatchersPerGroup * heartbeatsPerSecond, 0},
		{"operator tool", "calls to the store", "changes a second × 5 calls", "1/s", s.ChangesPerSecond() * callsPerChange, limitStoreWrites},
		{"store", "starts of daemons", "replacements a second", "1/s", s.ReplacementsPerSecond(), limitStoreReads},
	}
}
