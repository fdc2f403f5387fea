package execute

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/jackc/pgx/v5/pgconn"
	"pgregory.net/rapid"
)

// TestAnswersStayWhole has targets cut, delay and double their answers under
// several sessions that share connections. Each request gets the whole answer to
// itself or an error, an acknowledged write ran once and one that is refused as
// not run did not run.
func TestAnswersStayWhole(t *testing.T) {
	r, targets := newFakeRig(t, 1)
	sequence := 0
	rapid.Check(t, func(t *rapid.T) {
		callers := []*script{r.script(testKey, ""), r.script("other", "")}
		defer targets.heal()
		for _, s := range callers {
			defer s.close()
		}
		t.Repeat(map[string]func(*rapid.T){
			"spoil": func(t *rapid.T) {
				for range rapid.IntRange(0, 4).Draw(t, "answers before") {
					targets.spoil(noFault)
				}
				targets.spoil(drawFault(t))
			},
			"heal": func(*rapid.T) { targets.heal() },
			"read": func(t *rapid.T) {
				sequence++
				value := fmt.Sprint("r", sequence)
				s := rapid.SampledFrom(callers).Draw(t, "caller")
				checkRead(t, s, value, s.ask("SELECT '"+value+"'"))
			},
			"write": func(t *rapid.T) {
				sequence++
				value := fmt.Sprint("w", sequence)
				s := rapid.SampledFrom(callers).Draw(t, "caller")
				checkWrite(t, targets, value, s.ask("INSERT "+value))
			},
			"transaction": func(t *rapid.T) {
				sequence++
				value := fmt.Sprint("t", sequence)
				s := rapid.SampledFrom(callers).Draw(t, "caller")
				s.ask("BEGIN")
				s.ask("INSERT " + value)
				checkCommit(t, targets, value, s.ask("COMMIT"))
			},
		})
	})
}

func drawFault(t *rapid.T) fault {
	switch rapid.IntRange(0, 9).Draw(t, "fault") {
	case 0:
		return fault{cut: -1, late: true}
	case 1, 2:
		return fault{cut: -1, twice: true}
	case 3, 4, 5:
		return noFault
	default:
		return fault{cut: rapid.IntRange(0, 80).Draw(t, "cut")}
	}
}

// ask sends a query and returns the kinds of messages in the answer.
func (s *script) ask(query string) []string {
	s.send(queryMessage(query))
	var answer []string
	for {
		message, err := s.receive()
		if err != nil {
			s.t.Fatal(err)
		}
		answer = append(answer, describe(message))
		if strings.HasPrefix(answer[len(answer)-1], "ready ") {
			return answer
		}
	}
}

func checkRead(t *rapid.T, s *script, value string, answer []string) {
	whole := []string{"RowDescription", "row " + value, "done SELECT 1", "ready I"}
	if fmt.Sprint(answer) != fmt.Sprint(whole) && !endsWithRefusal(answer, whole) {
		t.Fatalf("answer %v to a read of %s", answer, value)
	}
}

// endsWithRefusal reports whether the answer is a part of the whole one and an
// error.
func endsWithRefusal(answer, whole []string) bool {
	if len(answer) < 2 {
		return false
	}
	part := answer[:len(answer)-2]
	for i := range part {
		if part[i] != whole[i] {
			return false
		}
	}
	code := answer[len(answer)-2]
	return len(part) < len(whole)-1 && len(code) > len("error ") && code[:len("error ")] == "error "
}

func checkWrite(t *rapid.T, targets *fakeTargets, value string, answer []string) {
	ran := targets.count(value)
	switch fmt.Sprint(answer) {
	case "[done INSERT 0 1 ready I]":
		if ran != 1 {
			t.Fatalf("acknowledged write ran %d times", ran)
		}
	case "[error 40001 ready I]":
		if ran != 0 {
			t.Fatalf("write refused as not run ran %d times", ran)
		}
	default:
		t.Fatalf("answer %v to a write", answer)
	}
}

// checkCommit checks the answer to the COMMIT of a transaction that has written
// the value. The session is outside of a transaction after it.
func checkCommit(t *rapid.T, targets *fakeTargets, value string, answer []string) {
	ran := targets.count(value)
	committed := fmt.Sprint(answer) == "[done COMMIT ready I]"
	if committed != (ran == 1) || ran > 1 || answer[len(answer)-1] != "ready I" {
		t.Fatalf("answer %v to a COMMIT that took effect %d times", answer, ran)
	}
}

// TestSettingsStayWithTheirSession shares one connection to each target between
// sessions with different settings.
func TestSettingsStayWithTheirSession(t *testing.T) {
	r, _ := newFakeRig(t, 1)
	first := r.script(testKey, "search_path=depot")
	second := r.script("other", "")
	second.ask("SET search_path = mill")
	third := r.script("other", "")
	for range 4 {
		for s, want := range map[*script]string{first: "depot", second: "mill", third: ""} {
			got := s.ask("SHOW search_path")
			if got[1] != "row "+want {
				t.Fatalf("%v, want the setting %q", got, want)
			}
		}
	}
	second.ask("RESET search_path")
	if got := second.ask("SHOW search_path"); got[1] != "row " {
		t.Errorf("%v after a reset", got)
	}
}

// TestNoTargetSeesAKey logs in with right and wrong secrets and runs requests,
// and searches everything that the targets were sent and all that was logged.
func TestNoTargetSeesAKey(t *testing.T) {
	r, targets := newFakeRig(t, 2)
	s := r.script(testKey, "application_name=clerk-desk")
	s.ask("SELECT 'x'")
	s.ask("INSERT y")
	s.ask("SET application_name = 'clerk-desk'")
	_, err := pgconn.Connect(t.Context(), r.dsn(testKey, "wrong-"+testSecret, "ledger", ""))
	var answer *pgconn.PgError
	if !errors.As(err, &answer) || answer.Code != "28P01" {
		t.Errorf("wrong secret got %v, want SQLSTATE 28P01", err)
	}
	if !targets.sent(testUser) || !r.hasLogged("6000") || !r.hasLogged("28P01") {
		t.Fatal("the targets were sent nothing, or nothing was logged")
	}
	stored := r.directory.mu.keys[testKey].Verifier
	for _, secret := range []string{string(testKey), testSecret, string(stored.StoredKey), string(stored.Salt)} {
		if targets.sent(secret) {
			t.Errorf("a target was sent %q", secret)
		}
		if secret != string(testKey) && r.hasLogged(secret) {
			t.Errorf("%q was logged", secret)
		}
	}
}
