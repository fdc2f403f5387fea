package engine

import (
	"testing"
	"time"

	"samphirehitch.example/samphirehitch/connection/client"
	"samphirehitch.example/samphirehitch/process/statement"
	"samphirehitch.example/samphirehitch/version/catalog"
)

// A configuration took a route away between two looks at it, while a refusal for the route
// was checked, and the process ended by a nil dereference.
func TestRouteThatComesAndGoesDuringItsCheckEndsNoProcess(t *testing.T) {
	h := newHarness(t)
	without, with := *h.engine.Catalog(), *h.engine.Catalog()
	without.Routes = map[string]catalog.Route{}
	// The route appears and disappears at each combination of two readings of the clock, by
	// which the looks are separated.
	for appears := range 6 {
		for disappears := appears + 1; disappears < 8; disappears++ {
			put := func(c catalog.Catalog) {
				c.Version = h.engine.Catalog().Version + 1
				h.engine.catalog.Store(&c)
			}
			put(without)
			readings := 0
			h.engine.Clock = func() time.Duration {
				switch readings {
				case appears:
					put(with)
				case disappears:
					put(without)
				}
				readings++
				return h.clock()
			}
			route, refused := h.engine.ResolveRoute(client.NewSession(1, "strict", "secret"))
			if refused == nil && route.Service != "s" {
				t.Errorf("at readings %d and %d: route %+v", appears, disappears, route)
			}
			if refused != nil && refused.code != statement.UnknownDatabase {
				t.Errorf("at readings %d and %d: refused with %s", appears, disappears, refused.code)
			}
		}
	}
}
