// Package change writes configuration records for operators. Every write is a
// compare-and-swap against the version that the operator has seen, so that operators
// who change a record at the same time do not overwrite each other: one of them gets a
// conflict that names the other's change. When the store's response to a write is lost,
// the change ID stored in the record shows whether the write took effect. The package
// does not communicate with daemons.
package change

import (
	"context"
	"errors"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
	"samphirehitch.example/samphirehitch/operator/history"
	"samphirehitch.example/samphirehitch/process/config"
	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/version/record"
)

// Timing of the calls to the store.
const (
	// callTimeout bounds a single write, so that a lost request leaves time for
	// retries.
	callTimeout = 3 * time.Second
	// retryInterval is the wait between attempts while the store does not respond.
	retryInterval = 200 * time.Millisecond
)

// Outcome is the effect of a change.
type Outcome string

// Outcomes. The first three mean that the change took effect.
const (
	OutcomeCreated Outcome = "created"
	OutcomeChanged Outcome = "changed"
	OutcomeDeleted Outcome = "deleted"
	// OutcomeUnchanged means that the record had the content of the change already and
	// nothing was written.
	OutcomeUnchanged Outcome = "unchanged"
	// OutcomeReplaced means that the change took effect and another change has replaced
	// it since.
	OutcomeReplaced Outcome = "replaced"
)

// Result is the result of a change to one record.
type Result struct {
	// Name is the kind/id of the record.
	Name    string  `json:"name"`
	Outcome Outcome `json:"outcome"`
	// Change is the change that wrote the record. For OutcomeUnchanged that is an
	// earlier one.
	Change record.ChangeID `json:"change,omitempty"`
	// Revision is the store revision at which the record was written or deleted, or
	// zero when it is not known.
	Revision store.Revision `json:"revision,omitempty"`
}

// NewChangeID returns a random change ID.
func NewChangeID() record.ChangeID { return record.ChangeID(uuid.NewString()) }

// Writer writes records on behalf of one author. It is safe for concurrent use.
type Writer struct {
	store  store.Store
	author string
	sleep  func(ctx context.Context, d time.Duration) error
	now    func() time.Time
}

// NewWriter returns a writer to a store.
func NewWriter(kv store.Store, author string) *Writer {
	return &Writer{store: kv, author: author, sleep: sleep, now: time.Now}
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// StoredRecord is a record as read from the store. A nil *StoredRecord stands for a
// record that does not exist.
type StoredRecord struct {
	// Document is the decoded record, or nil when Err is set.
	Document *record.Document
	Entry    store.Entry
	// Err is the error of decoding the record.
	Err error
}

// attribution returns the change that wrote the record and its author, empty when the
// record does not exist or could not be decoded.
func (s *StoredRecord) attribution() Attribution {
	if s == nil || s.Document == nil {
		return Attribution{}
	}
	return Attribution{Change: s.Document.Change, Author: s.Document.Author}
}

// LastChange returns the change that wrote the record and its author. Both are empty
// when the record could not be decoded.
func (s *StoredRecord) LastChange() (record.ChangeID, string) {
	attribution := s.attribution()
	return attribution.Change, attribution.Author
}

// revision returns the store revision of the record, or zero when it does not exist.
func (s *StoredRecord) revision() store.Revision {
	if s == nil {
		return 0
	}
	return s.Entry.Revision
}

// StoreKey returns the store key of a record.
func StoreKey(kind record.Kind, id string) string { return config.Prefix + record.Name(kind, id) }

// Read reads a record. It returns nil when the record does not exist, and a
// StoredRecord with Err set when it could not be decoded.
func Read(ctx context.Context, kv store.Store, kind record.Kind, id string) (*StoredRecord, error) {
	entry, err := kv.Get(ctx, StoreKey(kind, id))
	if errors.Is(err, store.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, eris.Wrapf(err, "read record %s", record.Name(kind, id))
	}
	document, err := record.Decode(entry.Value)
	return &StoredRecord{Document: document, Entry: entry, Err: err}, nil
}

// Request is a request to change one record.
type Request struct {
	Kind record.Kind
	ID   string
	// Change identifies the change. It is stored in the record, so that a rerun with
	// the same ID detects that the change has been made.
	Change record.ChangeID
	// Base is the change that wrote the version to be replaced. It is empty to create
	// the record.
	Base record.ChangeID
	// Rerun is set when an earlier run may have made the change already.
	Rerun bool
	// Overwrite replaces the current version, whether or not it is the base.
	Overwrite bool
	// Delete deletes the record.
	Delete bool
	// Edit returns the new version for the current one, which is nil when the record
	// does not exist or cannot be decoded. It is called again for each version that a
	// concurrent change has written, and not at all for a deletion.
	Edit func(current *record.Document) (*record.Document, error)
}

// newVersion returns the version to be written, or nil for a deletion.
func (r Request) newVersion(current *record.Document) (*record.Document, error) {
	if r.Delete {
		return nil, nil
	}
	return r.Edit(current)
}

// NewPutRequest returns a request that writes a document. The document's change ID is
// the base of the change.
func NewPutRequest(document *record.Document, change record.ChangeID, overwrite bool) Request {
	return Request{
		Kind: document.Kind, ID: document.ID, Change: change, Base: document.Change, Overwrite: overwrite,
		Edit: func(*record.Document) (*record.Document, error) {
			copied := *document
			return &copied, nil
		},
	}
}

// Apply makes a change. Once a write has been sent, it retries until the outcome is
// known or the context is done. It returns a ConflictError when the current version is
// not the base of the change, an OutcomeUnknownError when the context is done before the
// outcome is known, a NotFoundError when the record to be deleted does not exist, and
// the errors of package record.
func (w *Writer) Apply(ctx context.Context, request Request) (Result, error) {
	for {
		current, err := Read(ctx, w.store, request.Kind, request.ID)
		if err != nil {
			return Result{}, err
		}
		if request.Rerun {
			result, resolved, err := w.resolveEarlierAttempt(ctx, request, current)
			if resolved || err != nil {
				return result, err
			}
		}
		next, result, err := w.prepare(request, current)
		if err != nil || result.Outcome != "" {
			return result, err
		}
		result, retry, err := w.swapUntilKnown(ctx, request, current, next)
		if !retry {
			return result, err
		}
	}
}

// prepare checks the base and returns the new version, which is nil for a deletion.
// When there is nothing to write it returns a result with an outcome instead.
func (w *Writer) prepare(request Request, current *StoredRecord) (*record.Document, Result, error) {
	result := Result{Name: record.Name(request.Kind, request.ID), Change: request.Change, Revision: current.revision()}
	var document *record.Document
	if current != nil {
		document = current.Document
	}
	if request.Delete && current == nil {
		return nil, Result{}, &NotFoundError{Name: result.Name}
	}
	next, err := request.newVersion(document)
	if err != nil {
		return nil, Result{}, err
	}
	if next != nil && document != nil && record.SameContent(next, document) {
		result.Outcome, result.Change = OutcomeUnchanged, document.Change
		return nil, result, nil
	}
	if !request.Overwrite && request.Base != current.attribution().Change {
		return nil, Result{}, w.newConflict(request, current)
	}
	return next, Result{}, nil
}

func (w *Writer) newConflict(request Request, found *StoredRecord) error {
	return &ConflictError{
		Name: record.Name(request.Kind, request.ID), Ours: Attribution{Change: request.Change, Author: w.author},
		Base: request.Base, Theirs: found.attribution(), Revision: found.revision(),
	}
}

// swapUntilKnown archives the current version and replaces it by the next one. While
// the store does not respond it repeats the same swap, which takes effect at most once
// since it expects the current revision. It returns true when the change has to be
// prepared again for a version that was written in the meantime.
func (w *Writer) swapUntilKnown(ctx context.Context, request Request, current *StoredRecord, next *record.Document) (Result, bool, error) {
	swap := store.Swap{Key: StoreKey(request.Kind, request.ID), Expect: current.revision(), Delete: next == nil}
	if next != nil {
		next.Change, next.Author = request.Change, w.author
		value, err := next.Encode()
		if err != nil {
			return Result{}, false, err
		}
		swap.Value = value
	}
	if err := w.archiveCurrent(ctx, request, current); err != nil {
		return Result{}, false, err
	}
	attempted := false
	for {
		revision, err := w.swapOnce(ctx, swap)
		switch {
		case err == nil:
			return w.newResult(ctx, request, current, next, revision), false, nil
		case errors.Is(err, store.ErrConflict):
			return w.resolveConflict(ctx, request, current, attempted)
		case !errors.Is(err, store.ErrUnavailable) && ctx.Err() == nil:
			return Result{}, false, eris.Wrapf(err, "write record %s", record.Name(request.Kind, request.ID))
		}
		attempted = true
		if w.sleep(ctx, retryInterval) != nil {
			return Result{}, false, w.outcomeUnknown(request, err)
		}
	}
}

// swapOnce makes a single attempt with a timeout.
func (w *Writer) swapOnce(ctx context.Context, swap store.Swap) (store.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return w.store.CompareAndSwap(ctx, swap)
}

func (w *Writer) outcomeUnknown(request Request, err error) error {
	return &OutcomeUnknownError{Name: record.Name(request.Kind, request.ID), Change: request.Change, Err: err}
}

// archiveCurrent adds the version that is about to be replaced to the record's history.
func (w *Writer) archiveCurrent(ctx context.Context, request Request, current *StoredRecord) error {
	if current == nil {
		return nil
	}
	attribution := current.attribution()
	version := history.Version{
		Change: attribution.Change, Author: attribution.Author, Revision: current.revision(),
		Archived: w.now().UTC(), Record: current.Entry.Value,
	}
	_, err := history.Add(ctx, w.store, request.Kind, request.ID, version)
	return err
}

// newResult returns the result of a swap that took effect. It also archives a deletion.
func (w *Writer) newResult(ctx context.Context, request Request, current *StoredRecord, next *record.Document, revision store.Revision) Result {
	result := Result{
		Name: record.Name(request.Kind, request.ID), Outcome: OutcomeChanged,
		Change: request.Change, Revision: revision,
	}
	switch {
	case next == nil:
		result.Outcome = OutcomeDeleted
		w.archiveDeletion(ctx, request, revision)
	case current == nil:
		result.Outcome = OutcomeCreated
	}
	return result
}

// archiveDeletion adds the deletion and its author to the record's history. An error is
// ignored, since the record is deleted already.
func (w *Writer) archiveDeletion(ctx context.Context, request Request, revision store.Revision) {
	version := history.Version{
		Change: request.Change, Author: w.author, Revision: revision, Archived: w.now().UTC(), Deleted: true,
	}
	_, _ = history.Add(ctx, w.store, request.Kind, request.ID, version)
}

// resolveConflict handles a swap that the store rejected because the record is at
// another revision than expected. The conflict may be with an earlier attempt of this
// change whose response was lost, if there was one. It returns true when the change has
// to be prepared again.
func (w *Writer) resolveConflict(ctx context.Context, request Request, expected *StoredRecord, attempted bool) (Result, bool, error) {
	found, err := w.readPastRevision(ctx, request, expected)
	if err != nil {
		return Result{}, false, w.outcomeUnknown(request, err)
	}
	if attempted {
		result, resolved, err := w.resolveEarlierAttempt(ctx, request, found)
		if resolved || err != nil {
			return result, false, err
		}
	}
	if request.Overwrite {
		return Result{}, true, nil
	}
	return Result{}, false, w.newConflict(request, found)
}

// resolveEarlierAttempt reports whether an attempt whose response was lost took effect,
// and with what result. The change ID is in the record, or in its history when another
// change has replaced the version since.
func (w *Writer) resolveEarlierAttempt(ctx context.Context, request Request, found *StoredRecord) (Result, bool, error) {
	result := Result{Name: record.Name(request.Kind, request.ID), Change: request.Change}
	if request.Delete {
		return w.resolveDeletion(ctx, request, found)
	}
	if found.attribution().Change == request.Change {
		result.Outcome, result.Revision = OutcomeChanged, found.revision()
		return result, true, nil
	}
	archive, err := history.LoadLatest(ctx, w.store, request.Kind, request.ID)
	if err != nil {
		return Result{}, false, w.outcomeUnknown(request, err)
	}
	if version, ok := archive.FindChange(request.Change); ok {
		result.Outcome, result.Revision = OutcomeReplaced, version.Revision
		return result, true, nil
	}
	return result, false, nil
}

// resolveDeletion is resolveEarlierAttempt for deletions, which leave no change ID in
// the record. A record that does not exist counts as deleted by this change. A record
// that exists may have been written before or after the deletion, so the outcome
// remains unknown unless the deletion may be made again.
func (w *Writer) resolveDeletion(ctx context.Context, request Request, found *StoredRecord) (Result, bool, error) {
	if found == nil {
		w.archiveDeletion(ctx, request, 0)
		return Result{Name: record.Name(request.Kind, request.ID), Outcome: OutcomeDeleted, Change: request.Change}, true, nil
	}
	if request.Rerun || request.Overwrite {
		return Result{}, false, nil
	}
	return Result{}, false, w.outcomeUnknown(request, w.newConflict(request, found))
}

// readPastRevision reads the record until the store returns another revision than the
// expected one, which is known to be replaced. A replica of the store may return stale
// data at first.
func (w *Writer) readPastRevision(ctx context.Context, request Request, expected *StoredRecord) (*StoredRecord, error) {
	for {
		found, err := Read(ctx, w.store, request.Kind, request.ID)
		if err == nil && found.revision() != expected.revision() {
			return found, nil
		}
		if err != nil && !errors.Is(err, store.ErrUnavailable) {
			return nil, err
		}
		if waitErr := w.sleep(ctx, retryInterval); waitErr != nil {
			return nil, eris.Wrapf(waitErr, "read record %s past revision %d", record.Name(request.Kind, request.ID), expected.revision())
		}
	}
}
