package fleet

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"

	"samphirehitch.example/samphirehitch/process/platform"
	"samphirehitch.example/samphirehitch/process/status"
	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/process/store/memstore"
	"samphirehitch.example/samphirehitch/process/topology"
)

// TestFetchDecodesStatus checks that a status survives encoding by a daemon and decoding
// by samphirehitchctl, which share its type.
func TestFetchDecodesStatus(t *testing.T) {
	written := status.Daemon{
		Instance: "i1", FailureDomain: "kollam", Draining: true, Peers: []topology.InstanceID{"i2"},
		Configuration: status.Configuration{Revision: 3, Watching: true, Freshness: "fresh", AgeMillis: 5, Rejected: 1},
		Services: []status.Service{{Service: "s", Primary: "t", Term: 2, Targets: []status.Target{{
			Target: "t", Role: topology.RolePrimary.String(), Reachable: true, Leaving: true,
			Received: topology.Point{Term: 2, Position: 9}, Replayed: topology.Point{Term: 2, Position: 8},
			Pool: status.Pool{Limit: 4, Open: 3, Leased: 2, Idle: 1, Waiting: 5},
		}}}},
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(written)
	}))
	defer server.Close()
	read, err := requestStatus(t.Context(), server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(*read, written) {
		t.Errorf("read %+v, want %+v", *read, written)
	}
}

// TestGatherReportsFaults gathers from a store with a rejected record, a daemon that is
// behind and a daemon whose status request fails.
func TestGatherReportsFaults(t *testing.T) {
	kv := memstore.New(memstore.Config{})
	kv.PutInstance(platform.Instance{ID: "i1", FailureDomain: "kollam", State: platform.InstanceLeaving})
	for key, value := range map[string]string{
		"config/customer/c": `{"kind":"customer","schema":1,"id":"c","spec":{"name":"C"}}`,
		"config/limit/d":    `{"kind":"limit","schema":1,"id":"d","spec":{"rate_per_second":1,"burst":1}}`,
		"fleet/slots/0":     "held by i1",
	} {
		if _, err := kv.CompareAndSwap(t.Context(), store.Swap{Key: key, Value: []byte(value)}); err != nil {
			t.Fatal(err)
		}
	}
	admin := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(status.Daemon{Instance: "i1", Configuration: status.Configuration{Freshness: "fresh"}})
	}))
	defer admin.Close()
	unavailable := httptest.NewServer(http.NotFoundHandler())
	defer unavailable.Close()
	addresses := []string{strings.TrimPrefix(admin.URL, "http://"), strings.TrimPrefix(unavailable.URL, "http://")}
	report, err := Gather(t.Context(), kv, kv, addresses)
	if err != nil {
		t.Fatal(err)
	}
	if report.Records != 2 || len(report.Rejected) != 1 || len(report.Instances) != 1 || string(report.Slots[0].Value) != `"held by i1"` {
		t.Errorf("report %+v", report)
	}
	if !report.Daemons[0].Behind || report.Daemons[1].Status != nil || report.Daemons[1].Error == "" || report.Healthy() {
		t.Errorf("daemons %+v", report.Daemons)
	}
}
