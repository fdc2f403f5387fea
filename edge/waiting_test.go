package edge

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"

	"samphirehitch.example/samphirehitch/process/directory"
	"samphirehitch.example/samphirehitch/process/failover"
	"samphirehitch.example/samphirehitch/process/topology"
)

// The failover leader alone tells for which databases a promotion waits.
func TestMetricsNameTheDatabasesThatAPromotionWaitsFor(t *testing.T) {
	coordinator := &failover.Coordinator{}
	d := newLeader(t, coordinator)
	status := failover.TargetStatus{Role: topology.RoleReplica, Term: 1, Received: topology.Point{Term: 1, Position: 9}}
	view := failover.View{Revision: 1, FenceAcknowledged: true, SynchronousReplicas: 1,
		Record:  failover.Record{Primary: "a", Term: 1, Databases: 3, Names: []string{"host-a", "host-b", "host-c"}, Fenced: true},
		Targets: map[topology.TargetID]directory.Target{"b": {ID: "b", Address: "host-b", Role: topology.RoleReplica}}}
	action := coordinator.Step(0, view)
	coordinator.HandleResult(time.Second, view, failover.Result{Action: action, Statuses: map[topology.TargetID]failover.TargetStatus{"b": status}})

	if got, want := scrapedWaits(d), `samphirehitch_failover_awaited_database{database="host-a",service="s"} 1
samphirehitch_failover_awaited_database{database="host-c",service="s"} 1
samphirehitch_failover_missing_databases{service="s"} 1
`; got != want {
		t.Errorf("got:\n%swant:\n%s", got, want)
	}
	if d.setLeadership(false, 10); scrapedWaits(d) != "" {
		t.Errorf("without the leadership:\n%s", scrapedWaits(d))
	}
}

// scrapedWaits returns the lines of the metrics of waits.
func scrapedWaits(d *Daemon) string {
	response := httptest.NewRecorder()
	promhttp.HandlerFor(d.metrics.registry, promhttp.HandlerOpts{}).ServeHTTP(response, httptest.NewRequest("GET", "/metrics", nil))
	var lines strings.Builder
	for line := range strings.Lines(response.Body.String()) {
		if strings.HasPrefix(line, "samphirehitch_failover_") {
			lines.WriteString(line)
		}
	}
	return lines.String()
}
