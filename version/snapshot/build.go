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

// Effect is what a rejection means for the record in force.
type Effect uint8

const (
	// EffectAbsent means that no revision of the record is in force.
	EffectAbsent Effect = iota + 1
	// EffectPrevious means that the last valid revision of the record stays in force.
	EffectPrevious
	// EffectReported means that the record is in force although it refers to a record
	// that is not.
	EffectReported
)

// String returns the effect as logged and printed.
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
	// Key is the store key of the record.
	Key string
	// Revision is the revision of the rejected store entry.
	Revision store.Revision
	Effect   Effect
	// Err is the reason: an error of package record, a KeyMismatchError, a
	// ReferenceError or a DuplicateTargetError.
	Err error
}

// equals reports whether two rejections are of the same entry with the same effect and
// reason.
func (r Rejection) equals(other Rejection) bool {
	return r.Key == other.Key && r.Revision == other.Revision && r.Effect == other.Effect && r.Err.Error() == other.Err.Error()
}

// entryState is what a snapshot retains about a store entry, so that the next build
// decodes changed entries only and can fall back to the last valid value.
type entryState struct {
	key string
	// revision is the latest revision of the entry.
	revision store.Revision
	// valueRevision is the revision that value was decoded from. It is lower than
	// revision when the latest one could not be decoded.
	valueRevision store.Revision
	// value is the last valid value, or nil when there is none.
	value record.Value
	// decodeErr is the error of decoding the latest revision, or nil.
	decodeErr error
}

// builder assembles a snapshot.
type builder struct {
	snapshot *Snapshot
	// byKind lists the entries that have a value, by kind and in the order of their
	// keys. It points into snapshot.entries, which is allocated at its final capacity.
	byKind map[record.Kind][]*entryState
}

// Build builds the snapshot of a state of the store. It decodes only entries whose
// revision differs from the one in the previous snapshot, which may be nil. An entry
// that cannot be decoded keeps the value that it has in the previous snapshot. Build
// returns the rejections that the previous snapshot does not have.
func Build(previous *Snapshot, state config.State) (*Snapshot, []Rejection) {
	if previous == nil {
		previous = &Snapshot{}
	}
	b := &builder{
		snapshot: &Snapshot{revision: state.Revision, entries: make([]entryState, 0, len(state.Entries))},
		byKind:   make(map[record.Kind][]*entryState),
	}
	remaining := previous.entries
	for _, entry := range sortedByKey(state.Entries) {
		for len(remaining) > 0 && remaining[0].key < entry.Key {
			remaining = remaining[1:]
		}
		last := entryState{key: entry.Key}
		if len(remaining) > 0 && remaining[0].key == entry.Key {
			last = remaining[0]
		}
		b.addEntry(last, entry)
	}
	b.indexRecords()
	return b.snapshot, b.newRejections(previous)
}

// sortedByKey returns the entries sorted by key. States of package config are sorted
// already and not copied.
func sortedByKey(entries []store.Entry) []store.Entry {
	byKey := func(a, b store.Entry) int { return cmp.Compare(a.Key, b.Key) }
	if slices.IsSortedFunc(entries, byKey) {
		return entries
	}
	return slices.SortedFunc(slices.Values(entries), byKey)
}

// addEntry adds an entry to the snapshot. It decodes the entry unless the given state
// has its revision already.
func (b *builder) addEntry(state entryState, entry store.Entry) {
	if state.revision != entry.Revision {
		state = decodeEntry(state, entry)
	}
	b.snapshot.entries = append(b.snapshot.entries, state)
	current := &b.snapshot.entries[len(b.snapshot.entries)-1]
	if current.decodeErr != nil {
		effect := EffectPrevious
		if current.value == nil {
			effect = EffectAbsent
		}
		b.addRejection(current, effect, current.decodeErr)
	}
	if current.value != nil {
		kind := current.value.Kind()
		b.byKind[kind] = append(b.byKind[kind], current)
	}
}

// decodeEntry returns the state of an entry of a new revision. When the revision cannot
// be decoded, the previous value is retained; a key that the new revision withdraws is
// withdrawn nevertheless, so that an unsupported schema version does not keep it valid.
func decodeEntry(previous entryState, entry store.Entry) entryState {
	current := entryState{key: entry.Key, revision: entry.Revision, valueRevision: entry.Revision}
	document, err := record.Decode(entry.Value)
	if err == nil {
		err = checkKey(entry.Key, document)
	}
	if err == nil {
		current.value = document.Value
		return current
	}
	current.decodeErr, current.valueRevision, current.value = err, previous.valueRevision, previous.value
	if key, ok := previous.value.(record.Key); ok && record.IsWithdrawnKey(entry.Value) {
		key.Withdrawn = true
		current.value = key
	}
	return current
}

// checkKey rejects a record that is stored under the key of another one.
func checkKey(key string, document *record.Document) error {
	name, _ := strings.CutPrefix(key, config.Prefix)
	if recordName := record.Name(document.Kind, document.ID); name != recordName {
		return eris.Wrap(&KeyMismatchError{Key: key, Name: recordName}, "check the record's key")
	}
	return nil
}

func (b *builder) addRejection(entry *entryState, effect Effect, err error) {
	rejection := Rejection{Key: entry.key, Revision: entry.revision, Effect: effect, Err: err}
	b.snapshot.rejections = append(b.snapshot.rejections, rejection)
}

// newRejections sorts the rejections by key and returns those that the previous
// snapshot does not have.
func (b *builder) newRejections(previous *Snapshot) []Rejection {
	slices.SortStableFunc(b.snapshot.rejections, func(a, b Rejection) int { return cmp.Compare(a.Key, b.Key) })
	known := make(map[string][]Rejection, len(previous.rejections))
	for _, rejection := range previous.rejections {
		known[rejection.Key] = append(known[rejection.Key], rejection)
	}
	var added []Rejection
	for _, rejection := range b.snapshot.rejections {
		if !slices.ContainsFunc(known[rejection.Key], rejection.equals) {
			added = append(added, rejection)
		}
	}
	return added
}

// indexRecords builds the lookup tables and rejects records whose references are not
// in force. Records that others refer to are indexed first.
func (b *builder) indexRecords() {
	s := b.snapshot
	s.customers = make(map[topology.CustomerID]record.Customer, len(b.byKind[record.KindCustomer]))
	for _, entry := range b.byKind[record.KindCustomer] {
		customer := entry.value.(record.Customer)
		s.customers[customer.ID] = customer
	}
	b.indexServices(b.byKind[record.KindService])
	s.keys = make(map[topology.KeyID]record.Key, len(b.byKind[record.KindKey]))
	for _, entry := range b.byKind[record.KindKey] {
		key := entry.value.(record.Key)
		if b.requireCustomer(entry, EffectAbsent, key.Customer) {
			s.keys[key.ID] = key
		}
	}
	s.limitList = make([]record.Limit, 0, len(b.byKind[record.KindLimit]))
	for _, entry := range b.byKind[record.KindLimit] {
		limit := entry.value.(record.Limit)
		if b.requireCustomer(entry, EffectAbsent, limit.Customer) {
			s.limitList = append(s.limitList, limit)
		}
	}
	s.routes = make(map[string]record.Route, len(b.byKind[record.KindRoute]))
	s.allowed = make(map[customerAccess]struct{})
	for _, entry := range b.byKind[record.KindRoute] {
		b.indexRoute(entry)
	}
}

// requireCustomer reports whether a customer is in force, and rejects the entry that
// refers to it otherwise.
func (b *builder) requireCustomer(entry *entryState, effect Effect, customer topology.CustomerID) bool {
	if _, ok := b.snapshot.customers[customer]; ok {
		return true
	}
	b.addRejection(entry, effect, &ReferenceError{Name: record.Name(record.KindCustomer, string(customer))})
	return false
}

// indexServices indexes the services, each of whose targets may belong to one service
// only. On a conflict the service with the lower revision is in force, so that a later
// record cannot claim a target of an earlier one.
func (b *builder) indexServices(services []*entryState) {
	b.snapshot.services = make(map[topology.ServiceID]record.Service, len(services))
	slices.SortStableFunc(services, func(x, y *entryState) int { return cmp.Compare(x.valueRevision, y.valueRevision) })
	assigned := make(map[topology.TargetID]topology.ServiceID)
	for _, entry := range services {
		service := entry.value.(record.Service)
		if err := checkTargetsUnassigned(service, assigned); err != nil {
			b.addRejection(entry, EffectAbsent, err)
			continue
		}
		for _, target := range service.Targets {
			assigned[target.ID] = service.ID
		}
		b.snapshot.services[service.ID] = service
		b.snapshot.serviceList = append(b.snapshot.serviceList, service)
	}
	slices.SortFunc(b.snapshot.serviceList, func(x, y record.Service) int { return cmp.Compare(x.ID, y.ID) })
}

// checkTargetsUnassigned rejects a service with a target that is assigned to another
// service.
func checkTargetsUnassigned(service record.Service, assigned map[topology.TargetID]topology.ServiceID) error {
	for _, target := range service.Targets {
		if serviceID, found := assigned[target.ID]; found {
			return &DuplicateTargetError{Target: target.ID, Service: serviceID}
		}
	}
	return nil
}

// indexRoute indexes a route whose service and, for an open route, open customer are in
// force. Listed customers that are not in force are reported and stay on the list: if
// they were dropped, a list could become empty, and an empty list allows all customers.
func (b *builder) indexRoute(entry *entryState) {
	route := entry.value.(record.Route)
	if _, ok := b.snapshot.services[route.Service]; !ok {
		b.addRejection(entry, EffectAbsent, &ReferenceError{Name: record.Name(record.KindService, string(route.Service))})
		return
	}
	if route.Access == record.AccessOpen && !b.requireCustomer(entry, EffectAbsent, route.OpenCustomer) {
		return
	}
	for _, customer := range route.Customers {
		b.requireCustomer(entry, EffectReported, customer)
		b.snapshot.allowed[customerAccess{database: route.Database, customer: customer}] = struct{}{}
	}
	b.snapshot.routes[route.Database] = route
	b.snapshot.routeList = append(b.snapshot.routeList, route)
}
