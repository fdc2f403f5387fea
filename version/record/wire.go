package record

import (
	"fmt"

	"samphirehitch.example/samphirehitch/process/platform"
	"samphirehitch.example/samphirehitch/process/topology"
)

// Kind returns KindCustomer.
func (Customer) Kind() Kind { return KindCustomer }

// RecordID returns the customer's ID.
func (c Customer) RecordID() string { return string(c.ID) }

// Kind returns KindKey.
func (Key) Kind() Kind { return KindKey }

// RecordID returns the key's ID.
func (k Key) RecordID() string { return string(k.ID) }

// Kind returns KindLimit.
func (Limit) Kind() Kind { return KindLimit }

// RecordID returns the customer's ID: a customer has at most one limit.
func (l Limit) RecordID() string { return string(l.Customer) }

// Kind returns KindService.
func (Service) Kind() Kind { return KindService }

// RecordID returns the service's ID.
func (s Service) RecordID() string { return string(s.ID) }

// Kind returns KindRoute.
func (Route) Kind() Kind { return KindRoute }

// RecordID returns the database name that callers connect to, which is the route's ID.
func (r Route) RecordID() string { return r.Database }

// The types below are the JSON forms of specs, one per kind and schema version.

// customerV1 is the spec of customer records in schema version 1.
type customerV1 struct {
	Name string `json:"name"`
}

func (w customerV1) toValue(id string) (Customer, error) {
	return Customer{ID: topology.CustomerID(id), Name: w.Name}, nil
}

func newCustomerV1(c Customer) customerV1 { return customerV1{Name: c.Name} }

// keyV1 is the spec of key records in schema version 1.
type keyV1 struct {
	Customer  topology.CustomerID `json:"customer"`
	Withdrawn bool                `json:"withdrawn,omitempty"`
	Verifier  verifierV1          `json:"verifier"`
}

type verifierV1 struct {
	Iterations int    `json:"iterations"`
	Salt       []byte `json:"salt"`
	StoredKey  []byte `json:"stored_key"`
	ServerKey  []byte `json:"server_key"`
}

func (w keyV1) toValue(id string) (Key, error) {
	return Key{ID: topology.KeyID(id), Customer: w.Customer, Withdrawn: w.Withdrawn, Verifier: Verifier(w.Verifier)}, nil
}

func newKeyV1(k Key) keyV1 {
	return keyV1{Customer: k.Customer, Withdrawn: k.Withdrawn, Verifier: verifierV1(k.Verifier)}
}

// limitV1 is the spec of limit records in schema version 1.
type limitV1 struct {
	Rate  float64 `json:"rate_per_second"`
	Burst float64 `json:"burst"`
}

func (w limitV1) toValue(id string) (Limit, error) {
	return Limit{Customer: topology.CustomerID(id), Rate: w.Rate, Burst: w.Burst}, nil
}

func newLimitV1(l Limit) limitV1 { return limitV1{Rate: l.Rate, Burst: l.Burst} }

// limitV2 is the spec of limit records in schema version 2. Exactly one of Burst and
// BurstSeconds is set.
type limitV2 struct {
	Rate         rateV2   `json:"rate"`
	Burst        *float64 `json:"burst,omitempty"`
	BurstSeconds *float64 `json:"burst_seconds,omitempty"`
}

// rateV2 is a rate of Requests in PerSeconds seconds.
type rateV2 struct {
	Requests   float64 `json:"requests"`
	PerSeconds float64 `json:"per_seconds"`
}

// toValue normalizes the rate to requests per second and a burst in seconds of that
// rate to requests. It rejects a burst of less than one request, which the schema
// cannot express for burst_seconds.
func (w limitV2) toValue(id string) (Limit, error) {
	limit := Limit{Customer: topology.CustomerID(id), Rate: w.Rate.Requests / w.Rate.PerSeconds}
	if w.Burst != nil {
		limit.Burst = *w.Burst
		return limit, nil
	}
	limit.Burst = limit.Rate * *w.BurstSeconds
	if limit.Burst < 1 {
		return Limit{}, &InvalidError{
			Kind: KindLimit, ID: id, Path: "$.spec.burst_seconds",
			Rule:     fmt.Sprintf("the burst amounts to %g requests", limit.Burst),
			Accepted: schemas[specFile(KindLimit, 2)].root.Properties["burst_seconds"].Description,
		}
	}
	return limit, nil
}

func newLimitV2(l Limit) limitV2 {
	return limitV2{Rate: rateV2{Requests: l.Rate, PerSeconds: 1}, Burst: &l.Burst}
}

// routeV1 is the spec of route records in schema version 1.
type routeV1 struct {
	Service      topology.ServiceID    `json:"service"`
	Access       Access                `json:"access"`
	Customers    []topology.CustomerID `json:"customers,omitempty"`
	OpenCustomer topology.CustomerID   `json:"open_customer,omitempty"`
	MaxAgeMillis int                   `json:"max_age_millis,omitempty"`
}

func (w routeV1) toValue(id string) (Route, error) {
	return Route{
		Database: id, Service: w.Service, Access: w.Access, Customers: w.Customers,
		OpenCustomer: w.OpenCustomer, MaxAgeMillis: w.MaxAgeMillis,
	}, nil
}

func newRouteV1(r Route) routeV1 {
	return routeV1{
		Service: r.Service, Access: r.Access, Customers: r.Customers,
		OpenCustomer: r.OpenCustomer, MaxAgeMillis: r.MaxAgeMillis,
	}
}

// serviceV1 is the spec of service records in schema version 1.
type serviceV1 struct {
	Database    string     `json:"database"`
	Credential  string     `json:"credential"`
	Targets     []targetV1 `json:"targets"`
	Connections int        `json:"connections"`
	Slots       int        `json:"slots"`
}

type targetV1 struct {
	platform.Target
	Leaving bool `json:"leaving,omitempty"`
}

func (w serviceV1) toValue(id string) (Service, error) {
	service := Service{
		ID: topology.ServiceID(id), Database: w.Database, Credential: w.Credential,
		Connections: w.Connections, Slots: w.Slots,
	}
	for _, target := range w.Targets {
		service.Targets = append(service.Targets, ServiceTarget(target))
	}
	return service, checkUniqueTargets(service)
}

func newServiceV1(s Service) serviceV1 {
	wire := serviceV1{Database: s.Database, Credential: s.Credential, Connections: s.Connections, Slots: s.Slots}
	for _, target := range s.Targets {
		wire.Targets = append(wire.Targets, targetV1(target))
	}
	return wire
}

// serviceV2 is the spec of service records in schema version 2.
type serviceV2 struct {
	Database   string     `json:"database"`
	Credential string     `json:"credential"`
	Targets    []targetV2 `json:"targets"`
	Capacity   capacityV2 `json:"capacity"`
}

type capacityV2 struct {
	Connections int `json:"connections_per_target"`
	Statements  int `json:"statements_per_target"`
}

type targetV2 struct {
	platform.Target
	State targetState `json:"state,omitempty"`
}

// targetState is the state of a target in schema version 2 of service records. An
// empty state means serving.
type targetState string

const (
	targetServing targetState = "serving"
	targetLeaving targetState = "leaving"
)

func (w serviceV2) toValue(id string) (Service, error) {
	service := Service{
		ID: topology.ServiceID(id), Database: w.Database, Credential: w.Credential,
		Connections: w.Capacity.Connections, Slots: w.Capacity.Statements,
	}
	for _, target := range w.Targets {
		leaving := target.State == targetLeaving
		service.Targets = append(service.Targets, ServiceTarget{Target: target.Target, Leaving: leaving})
	}
	return service, checkUniqueTargets(service)
}

func newServiceV2(s Service) serviceV2 {
	wire := serviceV2{
		Database: s.Database, Credential: s.Credential,
		Capacity: capacityV2{Connections: s.Connections, Statements: s.Slots},
	}
	for _, target := range s.Targets {
		state := targetServing
		if target.Leaving {
			state = targetLeaving
		}
		wire.Targets = append(wire.Targets, targetV2{Target: target.Target, State: state})
	}
	return wire
}

// checkUniqueTargets rejects a service that lists a target twice, which the schema
// cannot express.
func checkUniqueTargets(service Service) error {
	seen := make(map[topology.TargetID]bool, len(service.Targets))
	for i, target := range service.Targets {
		if seen[target.ID] {
			return &InvalidError{
				Kind: KindService, ID: string(service.ID), Path: fmt.Sprintf("$.spec.targets[%d].id", i),
				Rule: fmt.Sprintf("target %q is listed twice", target.ID), Accepted: "each target once",
			}
		}
		seen[target.ID] = true
	}
	return nil
}
