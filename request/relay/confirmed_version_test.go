package relay

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-logr/logr"

	"samphirehitch.example/samphirehitch/process/peer"
	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/process/topology"
	"samphirehitch.example/samphirehitch/request/engine"
	"samphirehitch.example/samphirehitch/version/catalog"
)

// confirmingAuthority confirms a new configuration when it is asked for the age of the
// confirmation.
type confirmingAuthority struct {
	alwaysAuthorized
	confirm func()
}

func (a *confirmingAuthority) ConfirmationAge(time.Duration) time.Duration {
	a.confirm()
	return 0
}

// capturingLink keeps the last message that was sent.
type capturingLink struct {
	Link
	sent *message
}

func (l *capturingLink) Send(_ topology.InstanceID, _ peer.Kind, payload any) {
	sent, err := decode(payload.(cbor.RawMessage))
	if err != nil {
		panic(err)
	}
	l.sent = sent
}

// A peer is told that a version was confirmed lately, although the confirmation is that of a
// later one, which came into force meanwhile. It would accept keys that the later version
// withdraws.
func TestAgeOfALaterVersionsConfirmationIsNotToldForAnEarlierOne(t *testing.T) {
	authority := &confirmingAuthority{}
	eng := engine.NewEngine(engine.Dependencies{Clock: func() time.Duration { return time.Minute }, Authority: authority, Log: logr.Discard()})
	eng.SetCatalog(&catalog.Catalog{Version: 1, Revision: 7})
	authority.confirm = func() { eng.SetCatalog(&catalog.Catalog{Version: 2, Revision: 8}) }
	link := &capturingLink{}
	r := &Relay{Dependencies: Dependencies{Engine: eng, Link: link, Clock: func() time.Duration { return time.Minute },
		Configuration: func() store.Entry { return store.Entry{Revision: eng.Catalog().Revision} }}}
	if version, _ := r.confirmedConfiguration(); version != 2 {
		t.Errorf("version %d is told as confirmed", version)
	}
	authority.confirm = func() { eng.SetCatalog(&catalog.Catalog{Version: 3, Revision: 9}) }
	if r.handleConfigurationRequest("b", &configurationRequest{Version: 1}); link.sent.ConfigurationResponse.Revision != 9 {
		t.Errorf("the configuration of revision %s is sent as confirmed", link.sent.ConfigurationResponse.Revision)
	}
}
