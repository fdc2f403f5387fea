// Package change writes configuration records for operators: by compare-and-swap,
// with the outcome settled when the store's answer is lost, and with rivals named
// when operators race. It does not talk to daemons.
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
	// callTimeout bounds one write, so that it is tried again within the time
	// given for the change.
	callTimeout = 3 * time.Second
	// retryWait is the wait between tries while the store does not answer.
	retryWait = 200 * time.Millisecond
)

// Outcome says what a change did.
type Outcome string

// Outcomes.
const (
	OutcomeCreated   Outcome = "created"
	OutcomeChanged   Outcome = "changed"
	OutcomeDeleted   Outcome = "deleted"
	OutcomeUnchanged Outcome = "unchanged"
	// OutcomeReplaced means that the change took effect and has been replaced
	// since.
	OutcomeReplaced Outcome = "replaced"
)

// Result is what became of a change.
type Result struct {
	// Name is the record, kind/id.
	Name    string          `json:"name"`
	Outcome Outcome         `json:"outcome"`
	Change  record.ChangeID `json:"change,omitempty"`
	// Revision is the revision of the record as written, or zero when it is not
	// known.
	Revision store.Revision `json:"revision,omitempty"`
}

// NewID returns a fresh change id.
func NewID() record.ChangeID { return record.ChangeID(uuid.NewString()) }

// Writer writes records in one author's name. It is safe for concurrent use.
type Writer struct {
	store  store.Store
	author string
	wait   func(ctx context.Context, d time.Duration) error
	now    func() time.Time
}

// NewWriter returns a writer.
func NewWriter(service store.Store, author string) *Writer {
	return &Writer{store: service, author: author, wait: wait, now: time.Now}
}

func wait(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// Stored is a record as found in the store.
type Stored struct {
	Document *record.Document
	Entry    store.Entry
	// Err says why the record is not readable; then Document is nil.
	Err error
}

// signature returns who wrote the record.
func (s *Stored) signature() Signature {
	if s == nil || s.Document == nil {
		return Signature{}
	}
	return Signature{Change: s.Document.Change, Author: s.Document.Author}
}

// Signed returns the change and the author of the record, empty when it is not
// readable.
func (s *Stored) Signed() (record.ChangeID, string) {
	signature := s.signature()
	return signature.Change, signature.Author
}

func (s *Stored) revision() store.Revision {
	if s == nil {
		return 0
	}
	return s.Entry.Revision
}

// Key returns the store key of a record.
func Key(kind record.Kind, id string) string { return config.Prefix + record.Name(kind, id) }

// Read returns the record, or nil when there is none.
func Read(ctx context.Context, service store.Store, kind record.Kind, id string) (*Stored, error) {
	entry, err := service.Get(ctx, Key(kind, id))
	if errors.Is(err, store.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, eris.Wrapf(err, "read record %s", record.Name(kind, id))
	}
	document, err := record.Decode(entry.Value)
	return &Stored{Document: document, Entry: entry, Err: err}, nil
}

// Request is a change of one record.
type Request struct {
	Kind record.Kind
	ID   string
	// Change identifies the change. Making it again with the same id has no
	// second effect.
	Change record.ChangeID
	// Base is the change that wrote the version that this one replaces, or empty
	// to create the record.
	Base record.ChangeID
	// Rerun says that an earlier run may have made the change already.
	Rerun bool
	// Overwrite replaces whatever version is found.
	Overwrite bool
	// Delete removes the record.
	Delete bool
	// Edit returns the new record from the present one, which is nil when there
	// is none. It may be called several times. It is not called for a deletion.
	Edit func(present *record.Document) (*record.Document, error)
}

func (r Request) edit(present *record.Document) (*record.Document, error) {
	if r.Delete {
		return nil, nil
	}
	return r.Edit(present)
}

// Put returns a request that writes a document based on the version that its
// change id names.
func Put(document *record.Document, change record.ChangeID, overwrite bool) Request {
	return Request{
		Kind: document.Kind, ID: document.ID, Change: change, Base: document.Change, Overwrite: overwrite,
		Edit: func(*record.Document) (*record.Document, error) {
			written := *document
			return &written, nil
		},
	}
}

// Apply makes a change. It returns a ConflictError when the record is not at the
// base, an UnsettledError when the context ends before the outcome is known, a
// NotFoundError when there is nothing to delete, and errors of package record.
func (w *Writer) Apply(ctx context.Context, request Request) (Result, error) {
	for {
		present, err := Read(ctx, w.store, request.Kind, request.ID)
		if err != nil {
			return Result{}, err
		}
		if request.Rerun {
			result, found, err := w.settleSent(ctx, request, present)
			if found || err != nil {
				return result, err
			}
		}
		next, result, err := w.prepare(request, present)
		if err != nil || result.Outcome != "" {
			return result, err
		}
		result, again, err := w.write(ctx, request, present, next)
		if !again {
			return result, err
		}
	}
}

// prepare checks the base and makes the new record. It returns a result when
// there is nothing to write.
func (w *Writer) prepare(request Request, present *Stored) (*record.Document, Result, error) {
	result := Result{Name: record.Name(request.Kind, request.ID), Change: request.Change, Revision: present.revision()}
	var document *record.Document
	if present != nil {
		document = present.Document
	}
	if request.Delete && present == nil {
		return nil, Result{}, &NotFoundError{Name: result.Name}
	}
	next, err := request.edit(document)
	if err != nil {
		return nil, Result{}, err
	}
	if next != nil && document != nil && record.SameContent(next, document) {
		result.Outcome, result.Change = OutcomeUnchanged, document.Change
		return nil, result, nil
	}
	if !request.Overwrite && request.Base != present.signature().Change {
		return nil, Result{}, w.conflict(request, present)
	}
	return next, Result{}, nil
}

func (w *Writer) conflict(request Request, theirs *Stored) error {
	return &ConflictError{
		Name: record.Name(request.Kind, request.ID), Ours: Signature{Change: request.Change, Author: w.author},
		Base: request.Base, Theirs: theirs.signature(), Revision: theirs.revision(),
	}
}

// write archives the present version and swaps in the next one. While the store
// does not answer it repeats the same swap, which has at most one effect. The
// second result asks for another round on the version that a rival wrote.
func (w *Writer) write(ctx context.Context, request Request, present *Stored, next *record.Document) (Result, bool, error) {
	swap := store.Swap{Key: Key(request.Kind, request.ID), Expect: present.revision(), Delete: next == nil}
	if next != nil {
		next.Change, next.Author = request.Change, w.author
		value, err := next.Encode()
		if err != nil {
			return Result{}, false, err
		}
		swap.Value = value
	}
	if err := w.archive(ctx, request, present); err != nil {
		return Result{}, false, err
	}
	sent := false
	for {
		revision, err := w.swap(ctx, swap)
		switch {
		case err == nil:
			return w.done(ctx, request, present, next, revision), false, nil
		case errors.Is(err, store.ErrConflict):
			return w.settle(ctx, request, present, sent)
		case !errors.Is(err, store.ErrUnavailable) && ctx.Err() == nil:
			return Result{}, false, eris.Wrapf(err, "write record %s", record.Name(request.Kind, request.ID))
		}
		sent = true
		if w.wait(ctx, retryWait) != nil {
			return Result{}, false, w.unsettled(request, err)
		}
	}
}

func (w *Writer) swap(ctx context.Context, swap store.Swap) (store.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return w.store.CompareAndSwap(ctx, swap)
}

func (w *Writer) unsettled(request Request, err error) error {
	return &UnsettledError{Name: record.Name(request.Kind, request.ID), Change: request.Change, Err: err}
}

// archive keeps the version that is about to be replaced.
func (w *Writer) archive(ctx context.Context, request Request, present *Stored) error {
	if present == nil {
		return nil
	}
	signature := present.signature()
	version := history.Version{
		Change: signature.Change, Author: signature.Author, Revision: present.revision(),
		Archived: w.now().UTC(), Record: present.Entry.Value,
	}
	_, err := history.Add(ctx, w.store, request.Kind, request.ID, version)
	return err
}

// done reports a change that took effect, and archives a deletion.
func (w *Writer) done(ctx context.Context, request Request, present *Stored, next *record.Document, revision store.Revision) Result {
	result := Result{
		Name: record.Name(request.Kind, request.ID), Outcome: OutcomeChanged,
		Change: request.Change, Revision: revision,
	}
	switch {
	case next == nil:
		result.Outcome = OutcomeDeleted
		w.archiveDeletion(ctx, request, revision)
	case present == nil:
		result.Outcome = OutcomeCreated
	}
	return result
}

// archiveDeletion notes who deleted the record. The deletion stands without it.
func (w *Writer) archiveDeletion(ctx context.Context, request Request, revision store.Revision) {
	version := history.Version{
		Change: request.Change, Author: w.author, Revision: revision, Archived: w.now().UTC(), Deleted: true,
	}
	_, _ = history.Add(ctx, w.store, request.Kind, request.ID, version)
}

// settle finds out, after the key was found at another revision, whether an
// earlier try of this change took effect and what stands there now.
func (w *Writer) settle(ctx context.Context, request Request, expected *Stored, sent bool) (Result, bool, error) {
	found, err := w.readPast(ctx, request, expected)
	if err != nil {
		return Result{}, false, w.unsettled(request, err)
	}
	if sent {
		result, settled, err := w.settleSent(ctx, request, found)
		if settled || err != nil {
			return result, false, err
		}
	}
	if request.Overwrite {
		return Result{}, true, nil
	}
	return Result{}, false, w.conflict(request, found)
}

// settleSent looks for an earlier try of the change whose answer was lost: in
// the record, or in the archive when it has been replaced since.
func (w *Writer) settleSent(ctx context.Context, request Request, found *Stored) (Result, bool, error) {
	result := Result{Name: record.Name(request.Kind, request.ID), Change: request.Change}
	if request.Delete {
		return w.settleDeletion(ctx, request, found)
	}
	if found.signature().Change == request.Change {
		result.Outcome, result.Revision = OutcomeChanged, found.revision()
		return result, true, nil
	}
	archive, err := history.Confirm(ctx, w.store, request.Kind, request.ID)
	if err != nil {
		return Result{}, false, w.unsettled(request, err)
	}
	if version, ok := archive.Find(request.Change); ok {
		result.Outcome, result.Revision = OutcomeReplaced, version.Revision
		return result, true, nil
	}
	return result, false, nil
}

// settleDeletion takes a record that is gone for deleted. A record that stands
// there may have been written before or after the deletion.
func (w *Writer) settleDeletion(ctx context.Context, request Request, found *Stored) (Result, bool, error) {
	if found == nil {
		w.archiveDeletion(ctx, request, 0)
		return Result{Name: record.Name(request.Kind, request.ID), Outcome: OutcomeDeleted, Change: request.Change}, true, nil
	}
	if request.Rerun || request.Overwrite {
		return Result{}, false, nil
	}
	return Result{}, false, w.unsettled(request, w.conflict(request, found))
}

// readPast reads the record until an answer shows another revision than the one
// that is known to be gone: a replica of the store may answer old.
func (w *Writer) readPast(ctx context.Context, request Request, expected *Stored) (*Stored, error) {
	for {
		found, err := Read(ctx, w.store, request.Kind, request.ID)
		if err == nil && found.revision() != expected.revision() {
			return found, nil
		}
		if err != nil && !errors.Is(err, store.ErrUnavailable) {
			return nil, err
		}
		if failed := w.wait(ctx, retryWait); failed != nil {
			return nil, eris.Wrapf(failed, "read record %s past revision %d", record.Name(request.Kind, request.ID), expected.revision())
		}
	}
}
