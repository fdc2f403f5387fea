package memstore

// Counts holds the number of calls of each kind that the store has received,
// including failed ones. A watch counts once, however long it waits.
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

// Since returns the number of calls received since the earlier counts.
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

// Counts returns the number of calls received so far.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mu.counts
}

// callKind identifies a method of the store. It indexes the counters of Counts.
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

// isWrite reports whether calls of the kind may change the content of the store.
func (k callKind) isWrite() bool {
	return k == callSwap || k == callGrant || k == callKeepAlive || k == callRevoke
}

func (k callKind) String() string {
	return [...]string{"get", "list", "swap", "grant", "keep alive", "revoke", "watch", "list instances"}[k]
}

func (c *Counts) add(kind callKind) {
	counters := [...]*uint64{&c.Get, &c.List, &c.Swap, &c.Grant, &c.KeepAlive, &c.Revoke, &c.Watch, &c.Instances}
	*counters[kind]++
}
