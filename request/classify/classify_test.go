package classify

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

var kindNames = [...]string{
	"empty", "read", "write", "outside-transaction", "copy-in", "begin", "commit", "rollback", "in-transaction",
	"set", "reset", "deallocate", "discard", "unsupported",
}

// TestScan checks the classifications of the texts in testdata, one per line.
func TestScan(t *testing.T) {
	datadriven.RunTest(t, "testdata/scan", func(t *testing.T, d *datadriven.TestData) string {
		var out strings.Builder
		for _, line := range strings.Split(d.Input, "\n") {
			fmt.Fprintln(&out, format(Scan(line)))
		}
		return out.String()
	})
}

func format(s Statement) string {
	text := kindNames[s.Kind]
	for name, set := range map[string]bool{" multiple": s.Multiple} {
		if set {
			text += name
		}
	}
	if s.EndsTransaction {
		text += " ends"
	}
	if s.ReadOnly {
		text += " read-only"
	}
	if s.Idempotent {
		text += " idempotent"
	}
	if s.Name != "" {
		text += fmt.Sprintf(" %s=%q", s.Name, s.Value)
	}
	if s.Feature != "" {
		text += " (" + s.Feature + ")"
	}
	return text
}

// FuzzScan checks that the scan of any text terminates and that a comment before the
// text does not change the classification.
func FuzzScan(f *testing.F) {
	for _, seed := range []string{"SELECT 1", "E'\\", "$a$b$a$;", "/*/*", "SET x TO 'y'", "\"a\"\"b\"", "COPY (", "BEGIN READ"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		plain := Scan(text)
		plain.Idempotent = false
		if commented := Scan("-- x\n" + text); commented != plain {
			t.Errorf("%+v with a comment before, %+v without", commented, plain)
		}
	})
}

func BenchmarkScan(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		Scan("SELECT price, stock FROM sheet WHERE house = $1 AND day >= $2 ORDER BY price LIMIT 50")
	}
}

// Guards against a BEGIN that the instance puts off although targets refuse it: the
// statement that is sent behind it would run on its own.
func TestOnlyAValidBeginIsPutOff(t *testing.T) {
	for _, text := range []string{
		"BEGIN", "begin work;", "BEGIN TRANSACTION READ ONLY", "START TRANSACTION", "BEGIN READ WRITE, NOT DEFERRABLE",
		"START TRANSACTION ISOLATION LEVEL SERIALIZABLE READ ONLY DEFERRABLE", "BEGIN ISOLATION LEVEL repeatable /* . */ read",
		"BEGIN ISOLATION LEVEL READ COMMITTED, READ ONLY", "BEGIN ISOLATION LEVEL READ UNCOMMITTED",
	} {
		if !Scan(text).OnlyModes {
			t.Errorf("%q is not put off", text)
		}
	}
	for _, text := range []string{
		"(BEGIN", "START", "START WORK", "BEGIN READ", "BEGIN READ COMMITTED", "BEGIN SERIALIZABLE", "BEGIN ISOLATION LEVEL", "BEGIN , READ ONLY",
		"BEGIN READ ONLY,", "BEGIN READ ONLY,, READ WRITE", "BEGIN TRANSACTION WORK", "BEGIN NOT", "BEGIN DEFERRABLE READ", "BEGIN ONLY",
		"BEGIN \"read\" only", "BEGIN 'work'", "BEGIN WORK ISOLATION SERIALIZABLE", "BEGIN " + strings.Repeat("READ ONLY ", 40),
	} {
		if Scan(text).OnlyModes {
			t.Errorf("%q is put off", text)
		}
	}
}
