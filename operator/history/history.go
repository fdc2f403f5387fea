// Package history keeps the recent versions of each record in the store, beside
// the configuration, so that daemons do not carry them. A version is archived
// before it is replaced, so that every version that was ever in force and
// replaced through this package is found, also when a writer stopped half-way.
package history

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/rotisserie/eris"
	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/version/record"
)

// Prefix is the store prefix of the archives, history/<kind>/<id>.
const Prefix = "history/"

// Bounds of an archive.
const (
	// maxVersions is how many versions of a record are kept.
	maxVersions = 20
	// retryWait is the wait between tries against rivals and lost answers.
	retryWait = 50 * time.Millisecond
)

// Version is a version of a record that was replaced or deleted.
type Version struct {
	Change record.ChangeID `json:"change"`
	Author string          `json:"author"`
	// Revision is the store revision at which the version was written.
	Revision store.Revision `json:"revision"`
	// Archived is when the version was archived, on the clock of the operator.
	Archived time.Time `json:"archived"`
	// Deleted marks the deletion of the record; such a version has no record.
	Deleted bool `json:"deleted,omitempty"`
	// Record is the record as it was stored. It is left out when it does not fit.
	Record json.RawMessage `json:"record,omitempty"`
}

// Archive is the recent versions of a record, oldest first.
type Archive struct {
	Versions []Version `json:"versions"`
}

// Find returns the version that a change wrote.
func (a Archive) Find(change record.ChangeID) (Version, bool) {
	for _, version := range a.Versions {
		if version.Change == change {
			return version, true
		}
	}
	return Version{}, false
}

// Key returns the store key of a record's archive.
func Key(kind record.Kind, id string) string { return Prefix + record.Name(kind, id) }

// Load reads the archive of a record. A record without one has an empty archive.
func Load(ctx context.Context, service store.Store, kind record.Kind, id string) (Archive, error) {
	archive, _, err := load(ctx, service, Key(kind, id))
	return archive, err
}

func load(ctx context.Context, service store.Store, key string) (Archive, store.Revision, error) {
	entry, err := service.Get(ctx, key)
	if errors.Is(err, store.ErrNotFound) {
		return Archive{}, 0, nil
	}
	if err != nil {
		return Archive{}, 0, eris.Wrapf(err, "read archive %s", key)
	}
	var archive Archive
	if err := json.Unmarshal(entry.Value, &archive); err != nil {
		return Archive{}, 0, eris.Wrapf(err, "decode archive %s", key)
	}
	return archive, entry.Revision, nil
}

// Add archives a version, trying until the context ends, unless the archive has it, and returns the archive. It
// writes in any case: the archive returned is not an old one.
func Add(ctx context.Context, service store.Store, kind record.Kind, id string, version Version) (Archive, error) {
	return update(ctx, service, Key(kind, id), func(archive Archive) Archive {
		for _, known := range archive.Versions {
			if known.Revision == version.Revision && known.Change == version.Change {
				return archive
			}
		}
		archive.Versions = append(archive.Versions, version)
		return archive
	})
}

// Confirm returns an archive that is not an old one, whatever replica of the
// store answers, by writing it again.
func Confirm(ctx context.Context, service store.Store, kind record.Kind, id string) (Archive, error) {
	return update(ctx, service, Key(kind, id), func(archive Archive) Archive { return archive })
}

func update(ctx context.Context, service store.Store, key string, edit func(Archive) Archive) (Archive, error) {
	for {
		archive, revision, err := load(ctx, service, key)
		if err != nil {
			return Archive{}, err
		}
		archive = edit(archive)
		value, err := encode(&archive)
		if err != nil {
			return Archive{}, err
		}
		_, err = service.CompareAndSwap(ctx, store.Swap{Key: key, Expect: revision, Value: value})
		if err == nil {
			return archive, nil
		}
		again := errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrUnavailable)
		if !again || !wait(ctx) {
			return Archive{}, eris.Wrapf(err, "write archive %s", key)
		}
	}
}

// wait reports false when the context ends first.
func wait(ctx context.Context) bool {
	timer := time.NewTimer(retryWait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// encode drops the oldest versions that are too many or do not fit, and the
// record of a version that does not fit alone.
func encode(archive *Archive) ([]byte, error) {
	if extra := len(archive.Versions) - maxVersions; extra > 0 {
		archive.Versions = archive.Versions[extra:]
	}
	for {
		value, err := json.Marshal(archive)
		if err != nil {
			return nil, eris.Wrap(err, "encode archive")
		}
		switch {
		case len(value) <= store.MaxValueBytes:
			return value, nil
		case len(archive.Versions) > 1:
			archive.Versions = archive.Versions[1:]
		default:
			archive.Versions[0].Record = nil
		}
	}
}
