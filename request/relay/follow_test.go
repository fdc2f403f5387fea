package relay

import (
	"testing"
	"time"

	"samphirehitch.example/samphirehitch/process/statement"
	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/process/topology"
)

// followed is an answer that a relay has passed on.
type followed struct {
	from topology.InstanceID
	RegistrationChanges
	age time.Duration
}

// follow has "e" follow "h1", which knows the given registrations, and returns what "e"
// learned.
func (f *fleet) follow(registrations func(store.Revision) RegistrationChanges, since store.Revision) *[]followed {
	answers := &[]followed{}
	follower, owner := f.network.relays["e"], f.network.relays["h1"]
	owner.Registrations = registrations
	follower.OnFollowed = func(from topology.InstanceID, changes RegistrationChanges, age time.Duration) {
		*answers = append(*answers, followed{from, changes, age})
	}
	follower.Follow("h1", since)
	return answers
}

func TestFollowedPeerSendsChangesAndItsConfirmation(t *testing.T) {
	f := newFleet(t)
	f.targets["h1"].confirmationAge = 700 * time.Millisecond
	changes := []store.Change{{Entry: store.Entry{Key: "k", Value: []byte("v"), Revision: 8}}, {Entry: store.Entry{Key: "gone", Revision: 9}, Deleted: true}}
	var requested store.Revision
	answers := *f.follow(func(since store.Revision) RegistrationChanges {
		requested = since
		return RegistrationChanges{Changes: changes, Until: 9, Complete: true}
	}, 5)
	if requested != 5 || len(answers) != 1 {
		t.Fatalf("changes since %d were requested, %d answers", requested, len(answers))
	}
	got := answers[0]
	if got.from != "h1" || got.Until != 9 || !got.Complete || len(got.Changes) != 2 || string(got.Changes[0].Value) != "v" || !got.Changes[1].Deleted {
		t.Fatalf("%+v", got)
	}
	// The age counts from the time of the request, so that it is never understated.
	if got.age < 700*time.Millisecond {
		t.Fatalf("the confirmation has an age of %s", got.age)
	}
	if len(f.confirmed) != 1 || f.confirmed[0].version != 1 {
		t.Fatalf("confirmed: %v", f.confirmed)
	}
}

// A peer that does not watch the store itself proves nothing, however recent its
// confirmation is: an instance could otherwise follow itself by way of others.
func TestPeerThatDoesNotWatchTheStoreConfirmsNothing(t *testing.T) {
	f := newFleet(t)
	answers := *f.follow(func(store.Revision) RegistrationChanges { return RegistrationChanges{} }, 5)
	if len(answers) != 1 || answers[0].age >= 0 || len(f.confirmed) != 0 {
		t.Fatalf("%+v, confirmed: %v", answers, f.confirmed)
	}
}

// An answer to an earlier process of the instance carries times of another clock.
func TestAnswerToAnotherRequestIsIgnored(t *testing.T) {
	f := newFleet(t)
	answers := f.follow(func(store.Revision) RegistrationChanges { return RegistrationChanges{Until: 9} }, 5)
	f.network.relays["e"].handleFollowResponse("h1", &followResponse{Until: 10, ConfirmedVersion: 1, RequestSentAt: time.Hour})
	f.network.relays["e"].handleFollowResponse("h2", &followResponse{Until: 10, ConfirmedVersion: 1, RequestSentAt: f.network.relays["e"].followedAt})
	if len(*answers) != 1 || len(f.confirmed) != 1 {
		t.Fatalf("%d answers, %d confirmations", len(*answers), len(f.confirmed))
	}
}

// A forwarding instance watches nothing. An instance that has ceased to own a service says
// so with its responses.
func TestResponseOfAFormerOwnerMakesTheRoutingOutdated(t *testing.T) {
	f := newFleet(t)
	before := f.forwardFailures.Load()
	f.mustRun(f.newSession(), statement.Write, statement.OK)
	if f.forwardFailures.Load() != before {
		t.Fatal("the response of an owner makes the routing outdated")
	}
	for _, id := range []topology.InstanceID{"h1", "h2"} {
		f.network.relays[id].routing.Store(&routingTable{})
	}
	f.mustRun(f.newSession(), statement.Write, statement.OK)
	if f.forwardFailures.Load() == before {
		t.Fatal("the response of a former owner does not make the routing outdated")
	}
}
