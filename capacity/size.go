package capacity

// Size is a fleet to work out.
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
	// WatchersPerGroup is how many daemons watch one group.
	WatchersPerGroup float64
	// RecordsPerGroup counts the records of a group with its customers, keys,
	// limits and routes.
	RecordsPerGroup float64
	// CustomersPerGroup counts the customers that use a group.
	CustomersPerGroup float64
}

// InTwoYears is the size that the users expect, with assumptions where they say
// nothing: groups of three, watchers, records and customers for each group.
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

// Groups counts the database groups.
func (s Size) Groups() float64 { return s.Databases / s.TargetsPerGroup }

// ConnectionsPerDaemon counts callers' connections of one daemon.
func (s Size) ConnectionsPerDaemon() float64 { return s.Connections / s.Daemons }

// StatementsPerDaemon is in statements per second.
func (s Size) StatementsPerDaemon() float64 { return s.StatementsPerSecond / s.Daemons }

// GroupsWatchedPerDaemon counts the groups that one daemon watches.
func (s Size) GroupsWatchedPerDaemon() float64 {
	return s.Groups() * s.WatchersPerGroup / s.Daemons
}

// DaemonsPerRegion counts the daemons of one region.
func (s Size) DaemonsPerRegion() float64 { return s.Daemons / s.Regions }

// GroupsPerRegion counts the groups of one region.
func (s Size) GroupsPerRegion() float64 { return s.Groups() / s.Regions }

// RecordsPerRegion counts the records of one region.
func (s Size) RecordsPerRegion() float64 { return s.GroupsPerRegion() * s.RecordsPerGroup }

// ChangesPerSecond is the rate of configuration changes in the whole fleet.
func (s Size) ChangesPerSecond() float64 { return s.ChangesPerDay / secondsPerDay }

// ReplacementsPerSecond is the rate at which daemons start.
func (s Size) ReplacementsPerSecond() float64 { return s.ReplacementsPerDay / secondsPerDay }
