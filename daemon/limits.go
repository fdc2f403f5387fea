package daemon

import (
	"context"

	"samphirehitch.example/samphirehitch/process/topology"
	"samphirehitch.example/samphirehitch/request/execute"
	"samphirehitch.example/samphirehitch/version/record"
	"samphirehitch.example/samphirehitch/version/snapshot"
)

type admitAll struct{}

// Admit admits.
func (admitAll) Admit(context.Context, topology.CustomerID) error { return nil }

func (d *Daemon) admitter() execute.Admitter { return admitAll{} }

func (d *Daemon) limitsChanged(*snapshot.Snapshot) {}

// connectionLimit is this instance's share of a target's connections.
func (d *Daemon) connectionLimit(s record.Service, _ topology.TargetID) int {
	return max(1, s.Connections/d.settings.Fleet.Slots)
}

func (d *Daemon) demandChanged(topology.TargetID) {}
