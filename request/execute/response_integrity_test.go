package execute

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/jackc/pgx/v5/pgconn"
	"pgregory.net/rapid"
)

// TestFaultyTargetsNeverMixResponses has targets truncate, stall and duplicate
// responses while two sessions share their connections. Each request must get
// its own whole response or an error. An acknowledged write must have taken
// effect once, and one that was refused as not run must not have taken effect.
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
			"schedule faults": func(t *rapid.T) {
				for range rapid.IntRange(0, 4).Draw(t, "responses before") {
					targets.scheduleFaults(noFault)
				}
				targets.scheduleFaults(drawFault(t))
			},
			"clear faults": func(*rapid.T) { targets.clearFaults() },
			"read": func(t *rapid.T) {
				sequence++
				value := fmt.Sprint("r", sequence)
				client := rapid.SampledFrom(clients).Draw(t, "client")
				checkReadResponse(t, client, value, client.query("SELECT '"+value+"'"))
			},
			"write": func(t *rapid.T) {
				sequence++
				value := fmt.Sprint("w", sequence)
				client := rapid.SampledFrom(clients).Draw(t, "client")
				checkWriteResponse(t, targets, value, client.query("INSERT "+value))
			},
			"transaction": func(t *rapid.T) {
				sequence++
				value := fmt.Sprint("t", sequence)
				client := rapid.SampledFrom(clients).Draw(t, "client")
				client.query("BEGIN")
				client.query("INSERT " + value)
				checkCommitResponse(t, targets, value, client.query("COMMIT"))
			},
		})
	})
}

// drawFault draws a fault, or none in three of ten cases.
func drawFault(t *rapid.T) responseFault {
	switch rapid.IntRange(0, 9).Draw(t, "fault") {
	case 0:
		return responseFault{truncateAt: -1, stall: true}
	case 1, 2:
		return responseFault{truncateAt: -1, duplicate: true}
	case 3, 4, 5:
		return noFault
	default:
		return responseFault{truncateAt: rapid.IntRange(0, 80).Draw(t, "truncate at")}
	}
}

// query sends a Query and returns the summaries of the messages in the
// response.
func (c *wireClient) query(query string) []string {
	c.send(queryMessage(query))
	var response []string
	for {
		message, err := c.receive()
		if err != nil {
			c.t.Fatal(err)
		}
		response = append(response, summarize(message))
		if strings.HasPrefix(response[len(response)-1], "ready ") {
			return response
		}
	}
}

// checkReadResponse checks that a read returned the value, or that its response
// was cut short by an error.
func checkReadResponse(t *rapid.T, client *wireClient, value string, response []string) {
	complete := []string{"RowDescription", "row " + value, "done SELECT 1", "ready I"}
	if fmt.Sprint(response) != fmt.Sprint(complete) && !isPrefixWithError(response, complete) {
		t.Fatalf("response %v to a read of %s", response, value)
	}
}

// isPrefixWithError reports whether the response is a proper prefix of the
// complete one, followed by an error and a ReadyForQuery.
func isPrefixWithError(response, complete []string) bool {
	if len(response) < 2 {
		return false
	}
	prefix := response[:len(response)-2]
	for i := range prefix {
		if prefix[i] != complete[i] {
			return false
		}
	}
	errorSummary := response[len(response)-2]
	return len(prefix) < len(complete)-1 && len(errorSummary) > len("error ") && errorSummary[:len("error ")] == "error "
}

// checkWriteResponse checks that a write outside of a transaction was
// acknowledged and took effect once, or was refused and did not.
func checkWriteResponse(t *rapid.T, targets *fakeTargets, value string, response []string) {
	insertCount := targets.insertCount(value)
	switch fmt.Sprint(response) {
	case "[done INSERT 0 1 ready I]":
		if insertCount != 1 {
			t.Fatalf("acknowledged write took effect %d times", insertCount)
		}
	case "[error 40001 ready I]":
		if insertCount != 0 {
			t.Fatalf("write refused as not run took effect %d times", insertCount)
		}
	default:
		t.Fatalf("response %v to a write", response)
	}
}

// checkCommitResponse checks the response to the COMMIT of a transaction that
// has written the value. The session must be outside of a transaction after it.
func checkCommitResponse(t *rapid.T, targets *fakeTargets, value string, response []string) {
	insertCount := targets.insertCount(value)
	acknowledged := fmt.Sprint(response) == "[done COMMIT ready I]"
	if acknowledged != (insertCount == 1) || insertCount > 1 || response[len(response)-1] != "ready I" {
		t.Fatalf("response %v to a COMMIT that took effect %d times", response, insertCount)
	}
}

// TestSettingsIsolatedOnSharedConnection checks that sessions with different
// settings do not see each other's when they share one connection to each
// target.
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

// TestCredentialsReachNeitherTargetsNorLogs logs in with right and wrong
// secrets and runs requests. Neither the key's ID, its secret nor its verifier
// may be sent to a target, and the secret and the verifier may not be logged.
func TestCredentialsReachNeitherTargetsNorLogs(t *testing.T) {
	h, targets := newFakeHarness(t, 2)
	client := h.connectRaw(testKey, "application_name=clerk-desk")
	client.query("SELECT 'x'")
	client.query("INSERT y")
	client.query("SET application_name = 'clerk-desk'")
	_, err := pgconn.Connect(t.Context(), h.connString(testKey, "wrong-"+testSecret, "ledger", ""))
	var pgErr *pgconn.PgError
	if !errors.As(err, &pgErr) || pgErr.Code != "28P01" {
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
