package relay

import (
	"testing"
	"time"

	"samphirehitch.example/samphirehitch/process/statement"
	"samphirehitch.example/samphirehitch/process/topology"
)

func TestHomeWithAnOlderConfigurationDeclines(t *testing.T) {
	f := newFleet(t)
	f.network.mute = true
	first, other := f.homes()
	for _, id := range []topology.InstanceID{"e", other} {
		engine := f.network.relays[id].Engine
		newer := *engine.Catalog()
		newer.Version = 2
		engine.SetCatalog(&newer)
	}
	f.run(f.converse(), statement.Write, statement.OK)
	if len(f.targets[first].texts()) != 0 || len(f.targets[other].texts()) != 1 {
		t.Fatalf("%v, %v", f.targets[first].texts(), f.targets[other].texts())
	}
	if f.declined.Load() != 1 {
		t.Fatalf("told of %d declines", f.declined.Load())
	}
}

// Both homes are cut off from the store when a key is withdrawn. They read the
// configuration from the instance that has seen it, rather than leave the service
// without a home.
func TestHomeReadsAConfigurationThatItsCallerHasSeen(t *testing.T) {
	f := newFleet(t)
	first, _ := f.homes()
	e := f.network.relays["e"]
	newer := *e.Engine.Catalog()
	newer.Version, newer.Revision = 2, 9
	e.Engine.SetCatalog(&newer)
	f.targets["e"].age = time.Second
	f.run(f.converse(), statement.Write, statement.OK)
	if ran := f.targets[first].texts(); len(ran) != 1 {
		t.Fatalf("at the home %v", ran)
	}
	if c := f.network.relays[first].Engine.Catalog(); c.Version != 2 || c.Revision != 9 {
		t.Fatalf("version %d, revision %d at the home", c.Version, c.Revision)
	}
	if at := f.toldAt[0]; at > e.Clock()-time.Second {
		t.Fatalf("a confirmation of a second ago counts as of %v ago", e.Clock()-at)
	}
}

// An instance that only relays learns from answers that its configuration is the
// newest, without calls to the store. What it learns is never younger than what the
// home knows.
func TestAnswersConfirmTheConfiguration(t *testing.T) {
	f := newFleet(t)
	now := f.network.relays["e"].Clock
	c := f.converse()
	f.run(c, statement.Write, statement.OK)
	if len(f.confirmed) != 1 || f.confirmed[0].revision != 7 {
		t.Fatalf("confirmed %v", f.confirmed)
	}
	first, _ := f.homes()
	f.targets[first].age = time.Minute
	f.run(c, statement.Write, statement.OK)
	if at := f.confirmed[1].at; at > now()-time.Minute {
		t.Fatalf("a confirmation of a minute ago counts as of %v before now", now()-at)
	}
}

// A caller whose work was decided by a newer configuration is not served by an
// older one, wherever it runs.
func TestNoWorkIsDecidedByAnOlderConfiguration(t *testing.T) {
	f := newFleet(t)
	first, other := f.homes()
	newer := *f.network.relays[first].Engine.Catalog()
	newer.Version = 2
	f.network.relays[first].Engine.SetCatalog(&newer)
	c := f.converse()
	f.run(c, statement.Write, statement.OK)
	f.lose(first, f.network.down)
	f.run(c, statement.Write, statement.Busy)
	if len(f.targets[other].texts())+len(f.targets["e"].texts()) != 0 {
		t.Fatal("an older configuration decided")
	}
}
