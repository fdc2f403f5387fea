package e2e

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"

	"samphirehitch.example/samphirehitch/process/platform"
	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/process/store/httpstore"
	"samphirehitch.example/samphirehitch/process/topology"
	"samphirehitch.example/samphirehitch/soak/loopback"
	"samphirehitch.example/samphirehitch/standin/admin"
	"samphirehitch.example/samphirehitch/version/record"
)

// Identifiers and limits of the deployment.
const (
	serviceID  = "service-1"
	customerID = "customer-1"
	keyID      = "key-1"
	databaseID = "main"

	targetUser, targetPassword = "proxy", "proxy-password"

	// Limits of a target of the Kuttanad deployment, with a slot for each statement that is held.
	targetConnections, targetSlots = 15, 6
	customerRate                   = 10000

	drainTimeout = 4 * time.Second
)

// deployment is a store, a database group and daemons, each a process of its own.
type deployment struct {
	programs, logs string
	secret         string
	group          *admin.GroupClient
	daemons        []*daemonProcess
}

// startDeployment builds the programs and starts a deployment, which ends with the test.
func startDeployment(t *testing.T, daemons int) *deployment {
	t.Helper()
	d := &deployment{programs: t.TempDir(), logs: t.ArtifactDir(), secret: record.NewSecret()}
	build := exec.Command("go", "build", "-o", d.programs, "../cmd/samphirehitchd", "../cmd/samphirehitch-standin")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build the programs: %v\n%s", err, out)
	}
	storeAddress := d.startStandIn(t, "store").Store
	group := []string{"group", "--first-primary=db-1", "--user=" + targetUser, "--password=" + targetPassword,
		fmt.Sprintf("--slots=%d", targetSlots), fmt.Sprintf("--connections=%d", targetConnections), "--service-time=2ms"}
	for i := range 3 {
		group = append(group, fmt.Sprintf(`--member={"id":"db-%d","failure_domain":"z%d"}`, i+1, i+1))
	}
	standIn := d.startStandIn(t, group...)
	d.group = admin.NewGroupClient(standIn.Admin)
	d.writeRecords(t, storeAddress, standIn.Members)

	var ports loopback.Ports
	t.Cleanup(ports.Close)
	for i := range daemons {
		d.daemons = append(d.daemons, d.newDaemon(t, i, storeAddress, &ports))
	}
	for _, daemon := range d.daemons {
		d.startDaemon(t, daemon)
	}
	for _, daemon := range d.daemons {
		daemon.awaitReady(t)
	}
	return d
}

// standInAddresses is what a stand-in prints when it serves.
type standInAddresses struct {
	Store   string            `json:"store"`
	Admin   string            `json:"admin"`
	Members []platform.Target `json:"members"`
}

// startStandIn starts a stand-in and waits until it serves.
func (d *deployment) startStandIn(t *testing.T, arguments ...string) (addresses standInAddresses) {
	t.Helper()
	command := exec.Command(filepath.Join(d.programs, "samphirehitch-standin"), arguments...)
	out, err := command.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	d.startProcess(t, command, arguments[0])
	line, err := bufio.NewReader(out).ReadBytes('\n')
	if err != nil {
		t.Fatalf("stand-in %s printed no addresses: %v", arguments[0], err)
	}
	if err := json.Unmarshal(line, &addresses); err != nil {
		t.Fatal(err)
	}
	return addresses
}

// startProcess starts a program that logs to a file, and kills it when the test is over.
func (d *deployment) startProcess(t *testing.T, command *exec.Cmd, name string) {
	t.Helper()
	log, err := os.OpenFile(filepath.Join(d.logs, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	command.Stderr = log
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = command.Process.Kill() // fails if the process has exited
		_ = command.Wait()         // fails for a killed process
		_ = log.Close()            // the process has exited and writes no more
	})
}

// writeRecords writes the configuration.
func (d *deployment) writeRecords(t *testing.T, storeAddress string, members []platform.Target) {
	t.Helper()
	verifier, err := record.NewVerifier(d.secret)
	if err != nil {
		t.Fatal(err)
	}
	service := record.Service{ID: serviceID, Database: databaseID, Credential: "targets", Connections: targetConnections, Slots: targetSlots}
	for _, member := range members {
		service.Targets = append(service.Targets, record.ServiceTarget{Target: member})
	}
	client := httpstore.New(storeAddress)
	defer client.Close()
	for _, value := range []record.Value{
		service, record.Route{Database: serviceID, Service: serviceID, Access: record.AccessKeyed},
		record.Customer{ID: customerID, Name: customerID}, record.Key{ID: keyID, Customer: customerID, Verifier: verifier},
		record.Limit{Customer: customerID, Rate: customerRate, Burst: customerRate},
	} {
		data, err := record.New(value).Encode()
		if err != nil {
			t.Fatal(err)
		}
		key := "config/" + string(value.Kind()) + "/" + value.RecordID()
		if _, err := client.CompareAndSwap(t.Context(), store.Swap{Key: key, Value: data}); err != nil {
			t.Fatal(err)
		}
	}
}

// newDaemon writes the settings of a daemon and adds it to the platform's list.
func (d *deployment) newDaemon(t *testing.T, number int, storeAddress string, ports *loopback.Ports) *daemonProcess {
	t.Helper()
	base, err := ports.Allocate(3)
	if err != nil {
		t.Fatal(err)
	}
	address := func(offset int) string { return fmt.Sprintf("127.0.0.1:%d", base+offset) }
	id, domain := fmt.Sprintf("entry-%d", number+1), fmt.Sprintf("z%d", number+1)
	settings := fmt.Sprintf(`{"instance": %q, "failure_domain": %q, "listen": {"callers": %q, "peers": %q, "admin": %q},
		"store": {"address": %q}, "credentials": {"targets": {"user": %q, "password": %q}}, "drain_timeout_millis": %d}`,
		id, domain, address(0), address(1), address(2), storeAddress, targetUser, targetPassword, drainTimeout.Milliseconds())
	path := filepath.Join(d.logs, id+".json")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	instance := platform.Instance{ID: topology.InstanceID(id), Peer: address(1), FailureDomain: topology.FailureDomain(domain), State: platform.InstanceLive}
	if err := admin.NewStoreClient(storeAddress).PutInstance(t.Context(), instance); err != nil {
		t.Fatal(err)
	}
	return &daemonProcess{arguments: []string{"serve", path}, callerAddress: address(0), adminAddress: address(2)}
}

// members returns the service's targets, with their states.
func (d *deployment) members(t *testing.T) []admin.Member {
	t.Helper()
	members, err := d.group.Members(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	return members
}

// primaries names the targets that are primary, and their terms. A term above 1 means that a
// primary was replaced during the run.
func (d *deployment) primaries(t *testing.T) string {
	t.Helper()
	var names []string
	for _, member := range d.members(t) {
		if member.Status.Role == topology.RolePrimary {
			names = append(names, fmt.Sprintf("%s of term %d", member.Target.ID, member.Status.Term))
		}
	}
	return strings.Join(names, ", ")
}

// connectPrimary connects to the primary of the highest term, not through a daemon.
func (d *deployment) connectPrimary(t *testing.T) *pgx.Conn {
	t.Helper()
	var primary admin.Member
	for _, member := range d.members(t) {
		if member.Status.Role == topology.RolePrimary && member.Status.Term > primary.Status.Term {
			primary = member
		}
	}
	conn, err := pgx.Connect(context.Background(), connString(primary.Target.Address, targetUser, targetPassword, databaseID))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close(context.Background()) })
	return conn
}
