package snapshot_test

import (
	"fmt"

	"samphirehitch.example/samphirehitch/process/config"
	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/version/snapshot"
)

func configEntry(key, value string, revision store.Revision) store.Entry {
	return store.Entry{Key: config.Prefix + key, Value: []byte(value), Revision: revision}
}

// A record that cannot be decoded leaves its last valid revision in force.
func ExampleBuild() {
	customer := configEntry("customer/c1", `{"kind":"customer","schema":1,"id":"c1","spec":{"name":"One"}}`, 1)
	readable := configEntry("limit/c1", `{"kind":"limit","schema":1,"id":"c1","spec":{"rate_per_second":10,"burst":20}}`, 2)
	unreadable := configEntry("limit/c1", `{"kind":"limit","schema":99,"id":"c1","spec":{}}`, 3)

	var holder snapshot.Holder
	for _, state := range []config.State{
		{Revision: 2, Entries: []store.Entry{customer, readable}},
		{Revision: 3, Entries: []store.Entry{customer, unreadable}},
	} {
		next, rejections := snapshot.Build(holder.Current(), state)
		holder.Publish(next)
		for _, limit := range holder.Current().Limits() {
			fmt.Println("revision", next.Revision(), "limit", limit.Customer, limit.Rate, limit.Burst)
		}
		for _, rejection := range rejections {
			fmt.Println("rejected", rejection.Key, "in force:", rejection.Effect)
		}
	}
	// Output:
	// revision 2 limit c1 10 20
	// revision 3 limit c1 10 20
	// rejected config/limit/c1 in force: previous
}
