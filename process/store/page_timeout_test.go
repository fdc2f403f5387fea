package store

import (
	"context"
	"testing"
	"time"
)

// A listing had one deadline for all its pages, so that a longer one was read again and again
// from its start and never followed.
func TestEachPageOfAListingHasADeadlineOfItsOwn(t *testing.T) {
	ctx := WithPageTimeout(context.Background(), time.Hour)
	if _, limited := ctx.Deadline(); limited {
		t.Error("the listing as a whole has a deadline")
	}
	var last time.Time
	for range 3 {
		page, cancel := PageContext(ctx)
		cancel()
		deadline, limited := page.Deadline()
		if !limited || !deadline.After(last) {
			t.Errorf("the deadline %s of a page is not after %s, that of the page before", deadline, last)
		}
		last = deadline
		time.Sleep(time.Millisecond) // until the clock has advanced
	}
}

func TestPageWithoutATimeoutHasTheDeadlineOfTheListing(t *testing.T) {
	listing, cancel := context.WithTimeout(context.Background(), time.Hour)
	defer cancel()
	page, cancelPage := PageContext(listing)
	defer cancelPage()
	want, _ := listing.Deadline()
	if got, _ := page.Deadline(); got != want {
		t.Errorf("deadline %s, want %s", got, want)
	}
}
