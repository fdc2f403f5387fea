package capacity

// Size describes the fleet to estimate. Rates are those of the whole fleet.
type Size struct {
	Daemons              float64
	Databases            float64
	TargetsPerGroup      float64
	Connections          float64
	StatementsPerSecond  float64
	Regions              float64
	FailureDomains       float64
	ChangesPerDay        float64
	PrimaryChangesPerDay float64
	ReplacementsPerDay   float64
	FailuresPerDay       float64
	// WatchersPerGroup is the number of daemons that watch a group.
	WatchersPerGroup float64
	// RecordsPerGroup is the number of configuration records per group: those of the
	// group and of its customers, keys, limits and routes.
	RecordsPerGroup float64
	// CustomersPerGroup is the number of customers that use a group.
	CustomersPerGroup float64
}

// InTwoYears returns the size that users expect in two years. Where they state nothing, it
// assumes groups of three targets and the numbers of watchers, records and customers per
// group.
func InTwoYears() Size {
	return Size{
		Daemons: 3600, Databases: 38000, TargetsPerGroup: 3,
		Connections: 7.5e6, StatementsPerSecond: 13e6,
		Regions: 11, FailureDomains: 26,
		ChangesPerDay: 32000, PrimaryChangesPerDay: 49,
		ReplacementsPerDay: 2800, FailuresPerDay: 73,
		WatchersPerGroup: 7, RecordsPerGroup: 8, CustomersPerGroup: 2,
	}
}

const secondsPerDay = 24 * 60 * 60

// Groups returns the number of database groups.
func (s Size) Groups() float64 { return s.Databases / s.TargetsPerGroup }

// ConnectionsPerDaemon returns the number of callers' connections to one daemon.
func (s Size) ConnectionsPerDaemon() float64 { return s.Connections / s.Daemons }

// StatementsPerDaemon returns the statements per second of one daemon.
func (s Size) StatementsPerDaemon() float64 { return s.StatementsPerSecond / s.Daemons }

// GroupsWatchedPerDaemon returns the number of groups that one daemon watches.
func (s Size) GroupsWatchedPerDaemon() float64 {
	return s.Groups() * s.WatchersPerGroup / s.Daemons
}

// DaemonsPerRegion returns the number of daemons in one region.
func (s Size) DaemonsPerRegion() float64 { return s.Daemons / s.Regions }

// GroupsPerRegion returns the number of groups in one region.
func (s Size) GroupsPerRegion() float64 { return s.Groups() / s.Regions }

// RecordsPerRegion returns the number of configuration records in one region.
func (s Size) RecordsPerRegion() float64 { return s.GroupsPerRegion() * s.RecordsPerGroup }

// ChangesPerSecond returns the rate of configuration changes in the whole fleet.
func (s Size) ChangesPerSecond() float64 { return s.ChangesPerDay / secondsPerDay }

// ReplacementsPerSecond returns the rate at which daemons of the fleet are replaced, and
// thus start.
func (s Size) ReplacementsPerSecond() float64 { return s.ReplacementsPerDay / secondsPerDay }
