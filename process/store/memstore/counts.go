package memstore

// Counts is how many calls of each kind the store has taken. A waiting watch is
// one call.
type Counts struct {
	Get       uint64 `json:"get"`
	List      uint64 `json:"list"`
	Swap      uint64 `json:"swap"`
	Grant     uint64 `json:"grant"`
	KeepAlive uint64 `json:"keep_alive"`
	Revoke    uint64 `json:"revoke"`
	Watch     uint64 `json:"watch"`
	Instances uint64 `json:"instances"`
}

// Reads returns the number of calls that change nothing.
func (c Counts) Reads() uint64 { return c.Get + c.List + c.Watch + c.Instances }

// Writes returns the number of calls that may change something.
func (c Counts) Writes() uint64 { return c.Swap + c.Grant + c.KeepAlive + c.Revoke }

// Since returns the calls that came after earlier counts.
func (c Counts) Since(earlier Counts) Counts {
	return Counts{
		Get:       c.Get - earlier.Get,
		List:      c.List - earlier.List,
		Swap:      c.Swap - earlier.Swap,
		Grant:     c.Grant - earlier.Grant,
		KeepAlive: c.KeepAlive - earlier.KeepAlive,
		Revoke:    c.Revoke - earlier.Revoke,
		Watch:     c.Watch - earlier.Watch,
		Instances: c.Instances - earlier.Instances,
	}
}

// Total returns the number of all calls.
func (c Counts) Total() uint64 { return c.Reads() + c.Writes() }

// Counts returns the calls so far.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mu.counts
}

type callKind uint8

const (
	callGet callKind = iota
	callList
	callSwap
	callGrant
	callKeepAlive
	callRevoke
	callWatch
	callInstances
)

func (k callKind) changes() bool {
	return k == callSwap || k == callGrant || k == callKeepAlive || k == callRevoke
}

func (k callKind) String() string {
	return [...]string{"get", "list", "swap", "grant", "keep alive", "revoke", "watch", "list instances"}[k]
}

func (c *Counts) add(kind callKind) {
	counters := [...]*uint64{&c.Get, &c.List, &c.Swap, &c.Grant, &c.KeepAlive, &c.Revoke, &c.Watch, &c.Instances}
	*counters[kind]++
}
