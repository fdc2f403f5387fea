package store

import "testing"

func TestRevisionsOfLaterErasFollow(t *testing.T) {
	for _, test := range []struct {
		revision Revision
		text     string
	}{{NewRevision(0, 0), "0"}, {NewRevision(0, 39), "39"}, {NewRevision(2, 39), "2:39"}, {NewRevision(MaxEra, MaxSequence), "8191:1099511627775"}} {
		if got := test.revision.String(); got != test.text {
			t.Errorf("%d is written as %s, want %s", uint64(test.revision), got, test.text)
		}
	}
	if NewRevision(3, 0) != 0 {
		t.Error("the number zero is the revision of a change")
	}
	if before, after := NewRevision(1, MaxSequence), NewRevision(2, 1); before >= FirstRevision(2) || FirstRevision(2) >= after {
		t.Error("the revisions of an era do not follow those of the one before")
	}
	if uint64(NewRevision(MaxEra, MaxSequence)) >= 1<<53 {
		t.Error("a revision does not survive decoders that read numbers as floating point")
	}
}
