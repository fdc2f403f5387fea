package edge

import (
	"samphirehitch.example/samphirehitch/process/event"
	"samphirehitch.example/samphirehitch/process/target"
)

var eventDeparture = event.Define(6506, event.Warning, "target departs from its protocol")

// observeDeparture logs and counts what a target sent outside of its protocol.
func (d *Daemon) observeDeparture(endpoint target.Endpoint, departure target.Departure, detail string) {
	d.metrics.departures.WithLabelValues(departure.String()).Inc()
	eventDeparture.Log(d.log, "target", endpoint.Target, "service", endpoint.Service, "departure", departure.String(), "received", detail)
}
