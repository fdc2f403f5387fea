package statement

import (
	"slices"
	"testing"
)

func TestRecognizeStatements(t *testing.T) {
	for _, c := range []struct {
		text string
		want Statement
	}{
		{"SELECT value FROM kv WHERE key = $1", Statement{Kind: SelectValue, Key: Operand{Parameter: 1}, Parameters: 1}},
		{"/* age */ select value from kv where key = 'it''s -- x' ;", Statement{Kind: SelectValue, Key: Operand{Literal: "it's -- x"}}},
		{"UPDATE kv SET value = value + 1 WHERE key = $1", Statement{Kind: Increment, Key: Operand{Parameter: 1}, Value: Operand{Literal: "1"}, Parameters: 1}},
		{"UPDATE kv SET value = $2 WHERE key = $1", Statement{Kind: Update, Key: Operand{Parameter: 1}, Value: Operand{Parameter: 2}, Parameters: 2}},
		{"insert into kv values ($1, 'a;b')", Statement{Kind: Insert, Key: Operand{Parameter: 1}, Value: Operand{Literal: "a;b"}, Parameters: 1}},
		{"BEGIN ISOLATION LEVEL READ COMMITTED READ ONLY", Statement{Kind: Begin, ReadOnly: true}},
		{"COPY kv (key, value) FROM STDIN WITH (FORMAT text)", Statement{Kind: CopyIn}},
		{"-- nothing", Statement{Kind: Empty}},
		{"SELECT * FROM orders", Statement{Kind: Unknown}},
		{"SELECT value FROM kv WHERE key = 'a' OR 1 = 1", Statement{Kind: Unknown}},
	} {
		got := Recognize(c.text)
		got.Columns, got.Tag = nil, ""
		if got.Kind != c.want.Kind || got.Key != c.want.Key || got.Value != c.want.Value ||
			got.ReadOnly != c.want.ReadOnly || got.Parameters != c.want.Parameters {
			t.Errorf("%s: got %+v, want %+v", c.text, got, c.want)
		}
	}
}

func TestSplitIgnoresSemicolonsInQuotesAndComments(t *testing.T) {
	got := SplitStatements("BEGIN; SELECT ';' /* ; */ ;-- ;\n COMMIT;")
	want := []string{"BEGIN", " SELECT ';' /* ; */ ", "-- ;\n COMMIT"}
	if !slices.Equal(got, want) {
		t.Fatalf("split into %q", got)
	}
	if got := SplitStatements(" ; "); len(got) != 0 {
		t.Fatalf("split a query without statements into %q", got)
	}
}
