package execute

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/jackc/pgx/v5/pgconn"
	"pgregory.net/rapid"
)

// TestFaultyTargetsNeverMixResponses has targets cut, delay and double their answers under
// several sessions that share connections. Each request gets the whole answer to
// itself or an error, an acknowledged write ran once and one that is refused as
// not run did not run.
func TestFaultyTargetsNeverMixResponses(t *testing.T) {
	h, targets := newFakeHarness(t, 1)
	sequence := 0
	rapid.Check(t, func(t *rapid.T) {
		clients := []*wireClient{h.connectRaw(testKey, ""), h.connectRaw("other", "")}
		defer targets.clearFaults()
		for _, client := range clients {
			defer client.close()
		}
		t.Repeat(map[string]func(*rapid.T){
			"spoil": func(t *rapid.T) {
				for range rapid.IntRange(0, 4).Draw(t, "answers before") {
					targets.scheduleFaults(noFault)
				}
				targets.scheduleFaults(drawFault(t))
			},
			"heal": func(*rapid.T) { targets.clearFaults() },
			"read": func(t *rapid.T) {
				sequence++
				value := fmt.Sprint("r", sequence)
				client := rapid.SampledFrom(clients).Draw(t, "caller")
				checkReadResponse(t, client, value, client.query("SELECT '"+value+"'"))
			},
			"write": func(t *rapid.T) {
				sequence++
				value := fmt.Sprint("w", sequence)
				client := rapid.SampledFrom(clients).Draw(t, "caller")
				checkWriteResponse(t, targets, value, client.query("INSERT "+value))
			},
			"transaction": func(t *rapid.T) {
				sequence++
				value := fmt.Sprint("t", sequence)
				client := rapid.SampledFrom(clients).Draw(t, "caller")
				client.query("BEGIN")
				client.query("INSERT " + value)
				checkCommitResponse(t, targets, value, client.query("COMMIT"))
			},
		})
	})
}

func drawFault(t *rapid.T) responseFault {
	switch rapid.IntRange(0, 9).Draw(t, "fault") {
	case 0:
		return responseFault{truncateAt: -1, stall: true}
	case 1, 2:
		return responseFault{truncateAt: -1, duplicate: true}
	case 3, 4, 5:
		return noFault
	default:
		return responseFault{truncateAt: rapid.IntRange(0, 80).Draw(t, "cut")}
	}
}

// query sends a query and returns the kinds of messages in the answer.
func (client *wireClient) query(query string) []string {
	client.send(queryMessage(query))
	var response []string
	for {
		message, err := client.receive()
		if err != nil {
			client.t.Fatal(err)
		}
		response = append(response, describe(message))
		if strings.HasPrefix(response[len(response)-1], "ready ") {
			return response
		}
	}
}

func checkReadResponse(t *rapid.T, client *wireClient, value string, response []string) {
	whole := []string{"RowDescription", "row " + value, "done SELECT 1", "ready I"}
	if fmt.Sprint(response) != fmt.Sprint(whole) && !isPrefixWithError(response, whole) {
		t.Fatalf("answer %v to a read of %s", response, value)
	}
}

// isPrefixWithError reports whether the answer is a part of the whole one and an
// error.
func isPrefixWithError(response, whole []string) bool {
	if len(response) < 2 {
		return false
	}
	part := response[:len(response)-2]
	for i := range part {
		if part[i] != whole[i] {
			return false
		}
	}
	code := response[len(response)-2]
	return len(part) < len(whole)-1 && len(code) > len("error ") && code[:len("error ")] == "error "
}

func checkWriteResponse(t *rapid.T, targets *fakeTargets, value string, response []string) {
	insertCount := targets.insertCount(value)
	switch fmt.Sprint(response) {
	case "[done INSERT 0 1 ready I]":
		if insertCount != 1 {
			t.Fatalf("acknowledged write ran %d times", insertCount)
		}
	case "[error 40001 ready I]":
		if insertCount != 0 {
			t.Fatalf("write refused as not run ran %d times", insertCount)
		}
	default:
		t.Fatalf("answer %v to a write", response)
	}
}

// checkCommitResponse checks the answer to the COMMIT of a transaction that has written
// the value. The session is outside of a transaction after it.
func checkCommitResponse(t *rapid.T, targets *fakeTargets, value string, response []string) {
	insertCount := targets.insertCount(value)
	committed := fmt.Sprint(response) == "[done COMMIT ready I]"
	if committed != (insertCount == 1) || insertCount > 1 || response[len(response)-1] != "ready I" {
		t.Fatalf("answer %v to a COMMIT that took effect %d times", response, insertCount)
	}
}

// TestSettingsIsolatedOnSharedConnection shares one connection to each target between
// sessions with different settings.
func TestSettingsIsolatedOnSharedConnection(t *testing.T) {
	h, _ := newFakeHarness(t, 1)
	first := h.connectRaw(testKey, "search_path=depot")
	second := h.connectRaw("other", "")
	second.query("SET search_path = mill")
	third := h.connectRaw("other", "")
	for range 4 {
		for client, want := range map[*wireClient]string{first: "depot", second: "mill", third: ""} {
			got := client.query("SHOW search_path")
			if got[1] != "row "+want {
				t.Fatalf("%v, want the setting %q", got, want)
			}
		}
	}
	second.query("RESET search_path")
	if got := second.query("SHOW search_path"); got[1] != "row " {
		t.Errorf("%v after a reset", got)
	}
}

// TestCredentialsReachNeitherTargetsNorLogs logs in with right and wrong secrets and runs requests,
// and searches everything that the targets were sent and all that was logged.
func TestCredentialsReachNeitherTargetsNorLogs(t *testing.T) {
	h, targets := newFakeHarness(t, 2)
	client := h.connectRaw(testKey, "application_name=clerk-desk")
	client.query("SELECT 'x'")
	client.query("INSERT y")
	client.query("SET application_name = 'clerk-desk'")
	_, err := pgconn.Connect(t.Context(), h.dsn(testKey, "wrong-"+testSecret, "ledger", ""))
	var response *pgconn.PgError
	if !errors.As(err, &response) || response.Code != "28P01" {
		t.Errorf("wrong secret got %v, want SQLSTATE 28P01", err)
	}
	if !targets.hasReceived(testUser) || !h.hasLogged("6000") || !h.hasLogged("28P01") {
		t.Fatal("the targets were sent nothing, or nothing was logged")
	}
	stored := h.directory.mu.keys[testKey].Verifier
	for _, secret := range []string{string(testKey), testSecret, string(stored.StoredKey), string(stored.Salt)} {
		if targets.hasReceived(secret) {
			t.Errorf("a target was sent %q", secret)
		}
		if secret != string(testKey) && h.hasLogged(secret) {
			t.Errorf("%q was logged", secret)
		}
	}
}
