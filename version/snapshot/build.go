package snapshot

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
	"samphirehitch.example/samphirehitch/process/config"
	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/process/topology"
	"samphirehitch.example/samphirehitch/version/record"
)

// Effect says what a rejection means for the record.
type Effect uint8

// Effects of a rejection.
const (
	// EffectAbsent means that the record is not in force at all.
	EffectAbsent Effect = iota + 1
	// EffectPrevious means that the last good revision of the record stays in
	// force.
	EffectPrevious
	// EffectReported means that the record is in force and names something that
	// does not exist.
	EffectReported
)

// String names the effect.
func (e Effect) String() string {
	switch e {
	case EffectAbsent:
		return "absent"
	case EffectPrevious:
		return "previous"
	case EffectReported:
		return "reported"
	default:
		return "unknown"
	}
}

// Rejection reports a record that is not in force as written.
type Rejection struct {
	// Key is the store key.
	Key string
	// Revision is the revision of the entry that was rejected.
	Revision store.Revision
	Effect   Effect
	// Err says why: an error of package record, a MisplacedError, a
	// ReferenceError or a DuplicateTargetError.
	Err error
}

// same reports whether two rejections say the same of the same entry.
func (r Rejection) same(other Rejection) bool {
	return r.Key == other.Key && r.Revision == other.Revision && r.Effect == other.Effect && r.Err.Error() == other.Err.Error()
}

// held is what a snapshot keeps of a store entry for the next build.
type held struct {
	// revision is that of the entry as last seen.
	revision store.Revision
	// accepted is the revision of the entry that value comes from.
	accepted store.Revision
	// value is the last good value, or nil.
	value record.Value
	// err says why the entry as last seen was not readable.
	err error
}

// builder collects a snapshot.
type builder struct {
	snapshot *Snapshot
	// names lists the store keys with a value, in order.
	names []string
}

// Build reads a state. Records that previous has read already are not read
// again; a record that cannot be read leaves its last good value in previous in
// force. It returns the rejections that previous did not have. The previous
// snapshot may be nil.
func Build(previous *Snapshot, state config.State) (*Snapshot, []Rejection) {
	if previous == nil {
		previous = &Snapshot{}
	}
	b := &builder{snapshot: &Snapshot{
		revision:  state.Revision,
		held:      make(map[string]held, len(state.Entries)),
		customers: make(map[topology.CustomerID]record.Customer),
		keys:      make(map[topology.KeyID]record.Key),
		services:  make(map[topology.ServiceID]record.Service),
		routes:    make(map[string]record.Route),
		allowed:   make(map[access]struct{}),
	}}
	for _, entry := range state.Entries {
		b.read(previous.held[entry.Key], entry)
	}
	b.index()
	return b.snapshot, b.fresh(previous)
}

// read decodes an entry, or takes over what is known of it.
func (b *builder) read(before held, entry store.Entry) {
	now := before
	if before.revision != entry.Revision {
		now = decode(before, entry)
	}
	b.snapshot.held[entry.Key] = now
	if now.err != nil {
		effect := EffectPrevious
		if now.value == nil {
			effect = EffectAbsent
		}
		b.reject(entry.Key, effect, now.err)
	}
	if now.value != nil {
		b.names = append(b.names, entry.Key)
	}
}

func decode(before held, entry store.Entry) held {
	now := held{revision: entry.Revision, accepted: entry.Revision}
	document, err := record.Decode(entry.Value)
	if err == nil {
		err = checkPlace(entry.Key, document)
	}
	if err == nil {
		now.value = document.Value
		return now
	}
	now.err, now.accepted, now.value = err, before.accepted, before.value
	if key, ok := before.value.(record.Key); ok && record.Withdrawal(entry.Value) {
		key.Withdrawn = true
		now.value = key
	}
	return now
}

// checkPlace refuses a record under a key that is not its own.
func checkPlace(key string, document *record.Document) error {
	name, _ := strings.CutPrefix(key, config.Prefix)
	if want := record.Name(document.Kind, document.ID); name != want {
		return eris.Wrap(&MisplacedError{Key: key, Name: want}, "check the record's place")
	}
	return nil
}

func (b *builder) reject(key string, effect Effect, err error) {
	rejection := Rejection{Key: key, Revision: b.snapshot.held[key].revision, Effect: effect, Err: err}
	b.snapshot.rejections = append(b.snapshot.rejections, rejection)
}

// fresh sorts the rejections and returns those that previous did not have.
func (b *builder) fresh(previous *Snapshot) []Rejection {
	slices.SortStableFunc(b.snapshot.rejections, func(a, b Rejection) int { return cmp.Compare(a.Key, b.Key) })
	known := make(map[string][]Rejection, len(previous.rejections))
	for _, rejection := range previous.rejections {
		known[rejection.Key] = append(known[rejection.Key], rejection)
	}
	var fresh []Rejection
	for _, rejection := range b.snapshot.rejections {
		if !slices.ContainsFunc(known[rejection.Key], rejection.same) {
			fresh = append(fresh, rejection)
		}
	}
	return fresh
}

// index fills the lookups: what others refer to comes first.
func (b *builder) index() {
	values := make(map[record.Kind][]string)
	for _, name := range b.names {
		kind := b.snapshot.held[name].value.Kind()
		values[kind] = append(values[kind], name)
	}
	for _, name := range values[record.KindCustomer] {
		customer := b.snapshot.held[name].value.(record.Customer)
		b.snapshot.customers[customer.ID] = customer
	}
	b.indexServices(values[record.KindService])
	for _, name := range values[record.KindKey] {
		key := b.snapshot.held[name].value.(record.Key)
		if b.customerExists(name, EffectAbsent, key.Customer) {
			b.snapshot.keys[key.ID] = key
		}
	}
	for _, name := range values[record.KindLimit] {
		limit := b.snapshot.held[name].value.(record.Limit)
		if b.customerExists(name, EffectAbsent, limit.Customer) {
			b.snapshot.limitList = append(b.snapshot.limitList, limit)
		}
	}
	for _, name := range values[record.KindRoute] {
		b.indexRoute(name)
	}
	b.snapshot.routeList = slices.SortedFunc(maps.Values(b.snapshot.routes), func(a, b record.Route) int {
		return cmp.Compare(a.Database, b.Database)
	})
}

func (b *builder) customerExists(name string, effect Effect, customer topology.CustomerID) bool {
	if _, ok := b.snapshot.customers[customer]; ok {
		return true
	}
	b.reject(name, effect, &ReferenceError{Missing: record.Name(record.KindCustomer, string(customer))})
	return false
}

// indexServices takes the services in the order in which they were accepted, so
// that a later record cannot take a target away from an earlier one.
func (b *builder) indexServices(names []string) {
	slices.SortStableFunc(names, func(x, y string) int {
		return cmp.Compare(b.snapshot.held[x].accepted, b.snapshot.held[y].accepted)
	})
	owners := make(map[topology.TargetID]topology.ServiceID)
	for _, name := range names {
		service := b.snapshot.held[name].value.(record.Service)
		if err := takenTarget(service, owners); err != nil {
			b.reject(name, EffectAbsent, err)
			continue
		}
		for _, target := range service.Targets {
			owners[target.ID] = service.ID
		}
		b.snapshot.services[service.ID] = service
		b.snapshot.serviceList = append(b.snapshot.serviceList, service)
	}
	slices.SortFunc(b.snapshot.serviceList, func(x, y record.Service) int { return cmp.Compare(x.ID, y.ID) })
}

func takenTarget(service record.Service, owners map[topology.TargetID]topology.ServiceID) error {
	for _, target := range service.Targets {
		if owner, taken := owners[target.ID]; taken {
			return &DuplicateTargetError{Target: target.ID, Owner: owner}
		}
	}
	return nil
}

// indexRoute takes a route whose service, and open customer if any, exist. Of
// the customers listed, those that do not exist are reported only: a list that
// lost its last member must not turn into one that admits everybody.
func (b *builder) indexRoute(name string) {
	route := b.snapshot.held[name].value.(record.Route)
	if _, ok := b.snapshot.services[route.Service]; !ok {
		b.reject(name, EffectAbsent, &ReferenceError{Missing: record.Name(record.KindService, string(route.Service))})
		return
	}
	if route.Access == record.AccessOpen && !b.customerExists(name, EffectAbsent, route.OpenCustomer) {
		return
	}
	for _, customer := range route.Customers {
		b.customerExists(name, EffectReported, customer)
		b.snapshot.allowed[access{database: route.Database, customer: customer}] = struct{}{}
	}
	b.snapshot.routes[route.Database] = route
}
