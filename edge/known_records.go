package edge

import (
	"encoding/json"
	"slices"

	"samphirehitch.example/samphirehitch/process/failover"
	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/process/topology"
)

// knownRecords is what a user of primaries publishes after a restore of the store: the
// latest records that it had verified before, by service.
type knownRecords struct {
	Era     store.Era                              `json:"era"`
	Records map[topology.ServiceID]failover.Record `json:"records"`
}

// recordsBeforeRestore returns the latest verified records of the services that this
// instance has declared to use, in their stored form. It returns nil if there are none from
// before the last restore.
func (d *Daemon) recordsBeforeRestore() []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	known := knownRecords{Era: d.era.number, Records: make(map[topology.ServiceID]failover.Record)}
	for service, record := range d.records {
		if record.revision.Era() < d.era.number && slices.Contains(d.declaredServices, service) {
			known.Records[service] = record.Record
		}
	}
	if len(known.Records) == 0 {
		return nil
	}
	encoded, err := json.Marshal(known)
	if err != nil {
		panic("encode known records: " + err.Error())
	}
	return encoded
}

// addKnownRecords adds to a service's view what its users and this leader had verified
// before the store was restored. If the record was verified since and then deleted by hand, that
// is outdated. The caller holds d.mu.
func (d *Daemon) addKnownRecords(service topology.ServiceID, view *failover.View) {
	own, knows := d.records[service]
	if view.Revision == 0 && knows && own.revision.Era() == d.era.number {
		return
	}
	d.mirror.ForEach(prefixKnown, func(entry store.Entry) {
		var known knownRecords
		if err := json.Unmarshal(entry.Value, &known); err != nil {
			d.noteUnreadable(entry, err)
			return
		}
		if record, knows := known.Records[service]; knows && known.Era == d.era.number {
			view.Known = append(view.Known, record)
		}
	})
	if !knows || !d.leadership.ledThrough(d.era.number, service) {
		return
	}
	// A user that has not seen a fence attests that nobody else has replaced the primary.
	attested := slices.ContainsFunc(view.Known, func(r failover.Record) bool { return r.Equal(own.Record) })
	view.Known = append(view.Known, own.Record)
	view.LedThroughout = attested && view.LatestKnown().Equal(own.Record)
}
