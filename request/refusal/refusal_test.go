package refusal

import (
	"fmt"
	"os"
	"strings"
	"testing"
)

// TestErrorsPageListsAllKinds checks that the rows of docs/ERRORS.md are exactly the
// kinds of refusal.
func TestErrorsPageListsAllKinds(t *testing.T) {
	document, err := os.ReadFile("../../docs/ERRORS.md")
	if err != nil {
		t.Fatal(err)
	}
	rows := make(map[string]bool)
	for _, line := range strings.Split(string(document), "\n") {
		if strings.HasPrefix(line, "| `") {
			rows[line] = true
		}
	}
	for _, kind := range All() {
		row := fmt.Sprintf("| `%s` | %s | %s | %s | %s |", kind.Code, kind.Text, kind.stepNames(), kind.Outcome, kind.Advice)
		if !rows[row] {
			t.Errorf("docs/ERRORS.md lacks the row\n%s", row)
		}
		delete(rows, row)
	}
	for row := range rows {
		t.Errorf("docs/ERRORS.md has a row that no refusal matches:\n%s", row)
	}
}

// TestMessagesStateTheOutcome checks that each message states whether the request ran,
// that its detail has the step and the peer, and that the cause is nowhere in it.
func TestMessagesStateTheOutcome(t *testing.T) {
	for _, kind := range All() {
		r := New(kind, StepAcquire, "t-1", fmt.Errorf("cause"))
		response := r.Response()
		if !strings.HasSuffix(response.Message, kind.Outcome.String()) {
			t.Errorf("message %q does not state the outcome", response.Message)
		}
		if response.Detail != "step=acquire peer=t-1" {
			t.Errorf("detail %q", response.Detail)
		}
		if strings.Contains(response.Message+response.Detail+response.Hint, "cause") {
			t.Errorf("response %+v contains the cause", response)
		}
	}
}
