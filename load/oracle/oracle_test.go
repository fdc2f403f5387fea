package oracle

import (
	"slices"
	"testing"
	"time"
)

func rulesOf(violations []Violation) []Rule {
	var rules []Rule
	for _, v := range violations {
		rules = append(rules, v.Rule)
	}
	return rules
}

func wantRules(t *testing.T, o *Oracle, want ...Rule) {
	t.Helper()
	if got := rulesOf(o.Violations()); !slices.Equal(got, want) {
		t.Fatalf("violations %v, want %v", o.Violations(), want)
	}
}

func increment(o *Oracle, session Session, at time.Duration, outcome Outcome) {
	o.StartIncrement("c")
	o.FinishIncrement(session, "c", at, outcome)
}

func TestCheckReadOfCounter(t *testing.T) {
	for _, c := range []struct {
		session Session
		maxAge  time.Duration
		value   string
		want    []Rule
	}{
		{"a", -1, "2", nil},
		{"a", -1, "3", nil}, // the increment with unknown outcome ran
		{"a", -1, "1", []Rule{RuleReadYourWrites}},
		{"b", -1, "0", nil},
		{"b", time.Second, "1", nil},
		{"b", time.Second, "0", []Rule{RuleMaxAge}},
		{"a", -1, "4", []Rule{RuleDuplicateWrite}},
		{"a", -1, "x", []Rule{RuleCorrectValue}},
	} {
		o := New()
		increment(o, "a", time.Second, Confirmed)
		increment(o, "a", 2*time.Second, Confirmed)
		increment(o, "a", 2*time.Second, Unknown)
		increment(o, "a", 2*time.Second, NotRun)
		o.CheckRead(o.Expect(c.session, "c", 2500*time.Millisecond, c.maxAge), ReadResult{Value: c.value, Found: true}, 3*time.Second)
		wantRules(t, o, c.want...)
	}
}

func TestCheckReadOfInsert(t *testing.T) {
	for _, c := range []struct {
		session Session
		maxAge  time.Duration
		outcome Outcome
		value   string
		found   bool
		want    []Rule
	}{
		{"a", -1, Confirmed, "v", true, nil},
		{"a", -1, Confirmed, "", false, []Rule{RuleReadYourWrites}},
		{"a", time.Hour, Confirmed, "", false, []Rule{RuleReadYourWrites}},
		{"b", time.Hour, Confirmed, "", false, nil},
		{"b", time.Second, Confirmed, "", false, []Rule{RuleMaxAge}},
		{"a", -1, Confirmed, "other", true, []Rule{RuleCorrectValue}},
		{"a", -1, Unknown, "v", true, nil},
		{"a", -1, Unknown, "", false, nil},
		{"a", -1, NotRun, "", false, nil},
		{"a", -1, NotRun, "v", true, []Rule{RuleNotRun}},
	} {
		o := New()
		o.StartInsert("a", "o", "v")
		o.FinishInsert("o", 0, c.outcome)
		o.CheckRead(o.Expect(c.session, "o", 2*time.Second, c.maxAge), ReadResult{Value: c.value, Found: c.found}, 0)
		wantRules(t, o, c.want...)
	}
}

func TestCheckFinalState(t *testing.T) {
	o := New()
	increment(o, "a", 0, Confirmed)
	increment(o, "a", 0, Unknown)
	for key, outcome := range map[string]Outcome{"lost": Confirmed, "ran": NotRun, "half": Unknown, "other": Unknown} {
		o.StartInsert("a", key, "v")
		o.FinishInsert(key, 0, outcome)
	}
	o.RecordTransaction("half", "other")
	rows := map[string]string{"c": "3", "ran": "v", "half": "v"}
	o.CheckFinalState(rows, 0)
	wantRules(t, o, RuleDuplicateWrite, RuleLostWrite, RuleNotRun, RuleAtomicity)
}

func TestCheckRateOverEveryWindow(t *testing.T) {
	limit := RateLimit{Rate: 10, Burst: 5}
	var intervals []Interval
	for i := range 200 {
		at := time.Duration(i) * 100 * time.Millisecond
		intervals = append(intervals, Interval{at, at + time.Millisecond})
	}
	for range 4 {
		intervals = append(intervals, Interval{10 * time.Second, 10*time.Second + 2*time.Millisecond})
	}
	if v := CheckRate("a", intervals, limit); len(v) != 0 {
		t.Fatalf("violations of requests within the limit: %v", v)
	}
	for range 2 {
		intervals = append(intervals, Interval{10 * time.Second, 10*time.Second + 2*time.Millisecond})
	}
	if v := CheckRate("a", intervals, limit); len(v) != 1 {
		t.Fatalf("want one violation of requests over the limit, got %v", v)
	}
	// A slow response leaves open when its request was admitted: it counts only in
	// windows that contain its whole interval.
	for range 100 {
		intervals = append(intervals[:204:204], Interval{0, 20 * time.Second})
	}
	if v := CheckRate("a", intervals, limit); len(v) != 0 {
		t.Fatalf("violations with a slow response: %v", v)
	}
}
