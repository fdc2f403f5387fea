package soak

import (
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"samphirehitch.example/samphirehitch/platform/platformtest"
)

// routeDeadline is how long after its acknowledgement, without faults, a changed route may
// take to be in force: the bound of the platform's pages and time for a busy machine.
const routeDeadline = 10 * time.Second

// changeRoutes adds a route and checks that every daemon serves it. A daemon that takes new
// changes for old ones, such as after a restore of the store, never does.
func (h *harness) changeRoutes() {
	added := platformtest.Route{Host: "added", Service: "ledger", Type: string(levelPrimary)}
	h.recordError(h.store.PutConfiguration(3, append(allDatabases(), added), h.services(), customers[:withdrawnCustomerIndex]))
	for _, err := range h.awaitRoute(added) {
		h.recordError(err)
	}
}

// awaitRoute waits until every daemon serves a route that was added last. It returns an
// error for each that does not by the deadline.
func (h *harness) awaitRoute(added platformtest.Route) (failures []error) {
	deadline := time.Now().Add(routeDeadline)
	for i, d := range h.daemons {
		for number := 0; !h.serves(d, added, fmt.Sprintf("%s.%d.%d", added.Host, i, number)); number++ {
			if time.Now().After(deadline) {
				failures = append(failures, eris.Errorf("CONFIG: the route added last is not served by daemon %d", i+1))
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return failures
}

// serves reports whether a daemon runs a read over a route.
func (h *harness) serves(d *daemon, route platformtest.Route, id string) bool {
	conn, response, err := platformtest.DialCaller(d.callerAddress, route.Host, customers[0].Key, responseTimeout)
	if err != nil || !response.OK() {
		return false
	}
	defer conn.Close()
	text := platformtest.ReadText("item-0")
	h.history.addStatement(id, customers[0].Name, text)
	response, err = conn.Do(id, text, responseTimeout)
	return err == nil && response.OK()
}
