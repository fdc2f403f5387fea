package program

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"testing"

	"github.com/jackc/pgx/v5"

	"samphirehitch.example/samphirehitch/process/platform"
	"samphirehitch.example/samphirehitch/process/platform/httpinstances"
	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/process/store/httpstore"
	"samphirehitch.example/samphirehitch/process/store/memstore"
	"samphirehitch.example/samphirehitch/standin/admin"
	"samphirehitch.example/samphirehitch/standin/group"
)

// startProgram runs the program in the background until the test is over and
// returns the addresses that it printed.
func startProgram(t *testing.T, arguments ...string) listenAddresses {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	reader, writer := io.Pipe()
	done := make(chan error, 1)
	go func() { done <- Run(ctx, arguments, writer) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	addressLine, err := bufio.NewReader(reader).ReadBytes('\n')
	if err != nil {
		t.Fatal(err)
	}
	var listening listenAddresses
	if err := json.Unmarshal(addressLine, &listening); err != nil {
		t.Fatal(err)
	}
	return listening
}

func TestStoreServesInstancesAndInjectsFaults(t *testing.T) {
	listening := startProgram(t, "store", "--watch-wait=1s")
	client := admin.NewStoreClient(listening.Store)
	if err := client.PutInstance(t.Context(), platform.Instance{ID: "i1", State: platform.InstanceLive}); err != nil {
		t.Fatal(err)
	}
	list, err := httpinstances.New(listening.Store).Instances(t.Context())
	if err != nil || len(list) != 1 || list[0].ID != "i1" {
		t.Fatalf("list of instances: %v, %v", list, err)
	}
	if err := client.SetFaults(t.Context(), memstore.Faults{Down: true}); err != nil {
		t.Fatal(err)
	}
	if _, err := httpstore.New(listening.Store).CompareAndSwap(t.Context(), store.Swap{Key: "a"}); err == nil {
		t.Fatal("a store with the fault down responded")
	}
	counts, err := client.Counts(t.Context())
	if err != nil || counts.Instances != 1 || counts.Swap != 1 {
		t.Fatalf("counts of the store: %+v, %v", counts, err)
	}
}

func TestMembersInSeparateProgramsReplicate(t *testing.T) {
	replica := startProgram(t, "group", `--member={"id":"db-2"}`)
	remote, err := json.Marshal(replica.Members[0])
	if err != nil {
		t.Fatal(err)
	}
	primary := startProgram(t, "group", `--member={"id":"db-1"}`, "--remote="+string(remote), "--first-primary=db-1", "--connect-cost=0s")
	conn, err := pgx.Connect(t.Context(), "postgres://app@"+primary.Members[0].Address+"/ledger?sslmode=disable")
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close(t.Context())
	if _, err := conn.Exec(t.Context(), "INSERT INTO kv VALUES ('a', '1')"); err != nil {
		t.Fatal(err)
	}
	client := admin.NewGroupClient(replica.Admin)
	for {
		members, err := client.Members(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		// Position 1 is the first record of term 1, position 2 the insert.
		if members[0].Status.Replayed.Position == 2 {
			break
		}
	}
	if err := client.SetFaults(t.Context(), "db-2", group.Faults{Leaving: true}); err != nil {
		t.Fatal(err)
	}
	members, err := client.Members(t.Context())
	if err != nil || !members[0].Status.Leaving {
		t.Fatalf("member is not leaving: %+v, %v", members, err)
	}
	if err := client.Kill(t.Context(), "db-2"); err != nil {
		t.Fatal(err)
	}
	if err := client.Restart(t.Context(), "db-2"); err != nil {
		t.Fatal(err)
	}
	if err := client.Kill(t.Context(), "db-9"); err == nil {
		t.Fatal("no error for killing a member that does not exist")
	}
}
