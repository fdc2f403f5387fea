// Package history archives the recent versions of each configuration record. Archives
// are stored under a prefix of their own, so that daemons, which mirror the
// configuration, do not hold them. Writers archive a version before they replace it:
// when a writer fails in between, the archive holds a version that is still current,
// but no replaced version is missing.
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

// Prefix is the store prefix of the archives. The archive of a record is stored under
// history/<kind>/<id>.
const Prefix = "history/"

const (
	// maxVersions is the maximum number of versions in an archive.
	maxVersions = 20
	// retryInterval is the wait between attempts to write an archive after a conflict
	// or a lost response.
	retryInterval = 50 * time.Millisecond
)

// Version is an archived version of a record, or the deletion of the record.
type Version struct {
	Change record.ChangeID `json:"change"`
	Author string          `json:"author"`
	// Revision is the store revision at which the version was written, or zero when it
	// is not known.
	Revision store.Revision `json:"revision"`
	// Archived is the time of archiving on the operator's clock.
	Archived time.Time `json:"archived"`
	// Deleted marks the deletion of the record. Such a version has no Record.
	Deleted bool `json:"deleted,omitempty"`
	// Record is the record as stored. It is missing when it is too large for the
	// archive.
	Record json.RawMessage `json:"record,omitempty"`
}

// Archive holds the recent versions of a record, oldest first.
type Archive struct {
	Versions []Version `json:"versions"`
}

// FindChange returns the version that a change wrote.
func (a Archive) FindChange(change record.ChangeID) (Version, bool) {
	for _, version := range a.Versions {
		if version.Change == change {
			return version, true
		}
	}
	return Version{}, false
}

// Key returns the store key of a record's archive.
func Key(kind record.Kind, id string) string { return Prefix + record.Name(kind, id) }

// Load reads the archive of a record, which is empty when nothing has been archived.
// It may be stale; see LoadLatest.
func Load(ctx context.Context, kv store.Store, kind record.Kind, id string) (Archive, error) {
	archive, _, err := loadArchive(ctx, kv, Key(kind, id))
	return archive, err
}

func loadArchive(ctx context.Context, kv store.Store, key string) (Archive, store.Revision, error) {
	entry, err := kv.Get(ctx, key)
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

// Add archives a version unless the archive has it already, and returns the archive. It
// retries until the context is done. The archive is written in both cases, so the
// returned one is not stale.
func Add(ctx context.Context, kv store.Store, kind record.Kind, id string, version Version) (Archive, error) {
	return updateArchive(ctx, kv, Key(kind, id), func(archive Archive) Archive {
		for _, archived := range archive.Versions {
			if archived.Revision == version.Revision && archived.Change == version.Change {
				return archive
			}
		}
		archive.Versions = append(archive.Versions, version)
		return archive
	})
}

// LoadLatest returns the latest archive of a record. Since a replica of the store may
// return stale data for a read, it writes the archive back unchanged: the store accepts
// that only for the latest revision.
func LoadLatest(ctx context.Context, kv store.Store, kind record.Kind, id string) (Archive, error) {
	return updateArchive(ctx, kv, Key(kind, id), func(archive Archive) Archive { return archive })
}

// updateArchive applies edit to an archive by compare-and-swap. It retries after
// conflicts and lost responses until the context is done; edit must be idempotent.
func updateArchive(ctx context.Context, kv store.Store, key string, edit func(Archive) Archive) (Archive, error) {
	for {
		archive, revision, err := loadArchive(ctx, kv, key)
		if err != nil {
			return Archive{}, err
		}
		archive = edit(archive)
		value, err := encodeTruncated(&archive)
		if err != nil {
			return Archive{}, err
		}
		_, err = kv.CompareAndSwap(ctx, store.Swap{Key: key, Expect: revision, Value: value})
		if err == nil {
			return archive, nil
		}
		retryable := errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrUnavailable)
		if !retryable || !sleep(ctx) {
			return Archive{}, eris.Wrapf(err, "write archive %s", key)
		}
	}
}

// sleep waits for retryInterval. It returns false when the context is done first.
func sleep(ctx context.Context) bool {
	timer := time.NewTimer(retryInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// encodeTruncated encodes an archive. It first truncates it to maxVersions and to the
// size of a store value: the oldest versions are removed, and when a single version is
// too large, its record is.
func encodeTruncated(archive *Archive) ([]byte, error) {
	if excess := len(archive.Versions) - maxVersions; excess > 0 {
		archive.Versions = archive.Versions[excess:]
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
