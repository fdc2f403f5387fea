package snapshot

import (
	"cmp"
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
	key string
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
	// values lists the records with a value by kind, in the order of their keys.
	values map[record.Kind][]*held
}

// Build reads a state. Records that previous has read already are not read
// again; a record that cannot be read leaves its last good value in previous in
// force. It returns the rejections that previous did not have. The previous
// snapshot may be nil.
func Build(previous *Snapshot, state config.State) (*Snapshot, []Rejection) {
	if previous == nil {
		previous = &Snapshot{}
	}
	b := &builder{
		snapshot: &Snapshot{revision: state.Revision, held: make([]held, 0, len(state.Entries))},
		values:   make(map[record.Kind][]*held),
	}
	known := previous.held
	for _, entry := range sorted(state.Entries) {
		for len(known) > 0 && known[0].key < entry.Key {
			known = known[1:]
		}
		before := held{key: entry.Key}
		if len(known) > 0 && known[0].key == entry.Key {
			before = known[0]
		}
		b.read(before, entry)
	}
	b.index()
	return b.snapshot, b.fresh(previous)
}

// sorted returns the entries by key; states of package config come so.
func sorted(entries []store.Entry) []store.Entry {
	byKey := func(a, b store.Entry) int { return cmp.Compare(a.Key, b.Key) }
	if slices.IsSortedFunc(entries, byKey) {
		return entries
	}
	return slices.SortedFunc(slices.Values(entries), byKey)
}

// read decodes an entry, or takes over what is known of it.
func (b *builder) read(before held, entry store.Entry) {
	if before.revision != entry.Revision {
		before = decode(before, entry)
	}
	b.snapshot.held = append(b.snapshot.held, before)
	now := &b.snapshot.held[len(b.snapshot.held)-1]
	if now.err != nil {
		effect := EffectPrevious
		if now.value == nil {
			effect = EffectAbsent
		}
		b.reject(now, effect, now.err)
	}
	if now.value != nil {
		kind := now.value.Kind()
		b.values[kind] = append(b.values[kind], now)
	}
}

func decode(before held, entry store.Entry) held {
	now := held{key: entry.Key, revision: entry.Revision, accepted: entry.Revision}
	document, err := record.Decode(entry.Value)
	if err == nil {
		err = checkPlace(entry.Key, document)
	}
	if err == nil {
		now.value = document.Value
		return now
	}
	now.err, now.accepted, now.value = err, before.accepted, before.value
	if key, ok := before.value.(record.Key); ok && record.IsWithdrawnKey(entry.Value) {
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

func (b *builder) reject(h *held, effect Effect, err error) {
	rejection := Rejection{Key: h.key, Revision: h.revision, Effect: effect, Err: err}
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
	s := b.snapshot
	s.customers = make(map[topology.CustomerID]record.Customer, len(b.values[record.KindCustomer]))
	for _, h := range b.values[record.KindCustomer] {
		customer := h.value.(record.Customer)
		s.customers[customer.ID] = customer
	}
	b.indexServices(b.values[record.KindService])
	s.keys = make(map[topology.KeyID]record.Key, len(b.values[record.KindKey]))
	for _, h := range b.values[record.KindKey] {
		key := h.value.(record.Key)
		if b.customerExists(h, EffectAbsent, key.Customer) {
			s.keys[key.ID] = key
		}
	}
	s.limitList = make([]record.Limit, 0, len(b.values[record.KindLimit]))
	for _, h := range b.values[record.KindLimit] {
		limit := h.value.(record.Limit)
		if b.customerExists(h, EffectAbsent, limit.Customer) {
			s.limitList = append(s.limitList, limit)
		}
	}
	s.routes = make(map[string]record.Route, len(b.values[record.KindRoute]))
	s.allowed = make(map[access]struct{})
	for _, h := range b.values[record.KindRoute] {
		b.indexRoute(h)
	}
}

func (b *builder) customerExists(h *held, effect Effect, customer topology.CustomerID) bool {
	if _, ok := b.snapshot.customers[customer]; ok {
		return true
	}
	b.reject(h, effect, &ReferenceError{Missing: record.Name(record.KindCustomer, string(customer))})
	return false
}

// indexServices takes the services in the order in which they were accepted, so
// that a later record cannot take a target away from an earlier one.
func (b *builder) indexServices(services []*held) {
	b.snapshot.services = make(map[topology.ServiceID]record.Service, len(services))
	slices.SortStableFunc(services, func(x, y *held) int { return cmp.Compare(x.accepted, y.accepted) })
	owners := make(map[topology.TargetID]topology.ServiceID)
	for _, h := range services {
		service := h.value.(record.Service)
		if err := takenTarget(service, owners); err != nil {
			b.reject(h, EffectAbsent, err)
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
func (b *builder) indexRoute(h *held) {
	route := h.value.(record.Route)
	if _, ok := b.snapshot.services[route.Service]; !ok {
		b.reject(h, EffectAbsent, &ReferenceError{Missing: record.Name(record.KindService, string(route.Service))})
		return
	}
	if route.Access == record.AccessOpen && !b.customerExists(h, EffectAbsent, route.OpenCustomer) {
		return
	}
	for _, customer := range route.Customers {
		b.customerExists(h, EffectReported, customer)
		b.snapshot.allowed[access{database: route.Database, customer: customer}] = struct{}{}
	}
	b.snapshot.routes[route.Database] = route
	b.snapshot.routeList = append(b.snapshot.routeList, route)
}
