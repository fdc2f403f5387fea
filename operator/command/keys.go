package command

import (
	"context"
	"fmt"
	"io"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rotisserie/eris"
	"samphirehitch.example/samphirehitch/operator/change"
	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/process/topology"
	"samphirehitch.example/samphirehitch/version/record"
)

func (s *session) addKeys(ctx context.Context, app *kingpin.Application) {
	key := app.Command("key", "Give and withdraw the keys of customers.")

	create := key.Command("new", "Create a key and print its secret, once.")
	createID := create.Arg("id", "Id of the key, the user name that callers give.").Required().String()
	createCustomer := create.Flag("customer", "The customer that the key belongs to.").Required().String()
	create.Action(s.action(ctx, func(ctx context.Context) error {
		return s.newKey(ctx, topology.KeyID(*createID), topology.CustomerID(*createCustomer))
	}))

	withdraw := key.Command("withdraw", "Withdraw a key; its open sessions end.")
	withdrawID := withdraw.Arg("id", "Id of the key.").Required().String()
	var withdrawFlags writeFlags
	withdrawFlags.addSettling(withdraw)
	withdraw.Action(s.action(ctx, func(ctx context.Context) error { return s.withdrawKey(ctx, *withdrawID, withdrawFlags) }))

	list := key.Command("list", "List keys.")
	listCustomer := list.Flag("customer", "Only the keys of this customer.").String()
	list.Action(s.action(ctx, func(ctx context.Context) error { return s.listKeys(ctx, topology.CustomerID(*listCustomer)) }))
}

// newKeyResult is a key as given out.
type newKeyResult struct {
	change.Result
	Key    topology.KeyID `json:"key"`
	Secret string         `json:"secret"`
}

func (s *session) newKey(ctx context.Context, id topology.KeyID, customer topology.CustomerID) error {
	secret := s.NewSecret()
	verifier, err := record.NewVerifier(secret)
	if err != nil {
		return err
	}
	document := record.New(record.Key{ID: id, Customer: customer, Verifier: verifier})
	encoded, err := document.Encode()
	if err != nil {
		return err
	}
	if _, err := record.Decode(encoded); err != nil {
		return err
	}
	if err := s.check(ctx, []*record.Document{document}, nil); err != nil {
		return err
	}
	result, err := change.NewWriter(s.store, s.author).Apply(ctx, change.NewPutRequest(document, s.NewID(), false))
	if err != nil {
		return err
	}
	given := newKeyResult{Result: result, Key: id, Secret: secret}
	return s.print(given, func(w io.Writer) {
		_, _ = fmt.Fprintf(w, "key %s of customer %s change=%s revision=%d\nsecret %s\n", id, customer, result.Change, result.Revision, secret)
	})
}

// withdrawKey sets withdrawn on whatever version is found: withdrawing again
// changes nothing, so that races need no base.
func (s *session) withdrawKey(ctx context.Context, id string, flags writeFlags) error {
	name := record.Name(record.KindKey, id)
	changeID, rerun := s.id(flags)
	result, err := change.NewWriter(s.store, s.author).Apply(ctx, change.Request{
		Kind: record.KindKey, ID: id, Change: changeID, Rerun: rerun, Overwrite: true,
		Edit: func(present *record.Document) (*record.Document, error) { return withdrawn(name, present) },
	})
	if err != nil {
		return err
	}
	return s.finish(ctx, []change.Result{result}, flags.admins)
}

func withdrawn(name string, present *record.Document) (*record.Document, error) {
	if present == nil {
		return nil, &change.NotFoundError{Name: name}
	}
	key, ok := present.Value.(record.Key)
	if !ok {
		return nil, eris.Errorf("record %s is no key", name)
	}
	key.Withdrawn = true
	next := *present
	next.Value = key
	return &next, nil
}

// listedKey is a key without its verifier.
type listedKey struct {
	Key       topology.KeyID      `json:"key"`
	Customer  topology.CustomerID `json:"customer"`
	Withdrawn bool                `json:"withdrawn"`
	Revision  store.Revision      `json:"revision"`
	Author    string              `json:"author"`
}

func (s *session) listKeys(ctx context.Context, customer topology.CustomerID) error {
	state, err := change.LoadConfiguration(ctx, s.store)
	if err != nil {
		return err
	}
	keys := []listedKey{}
	for _, entry := range selectKind(state.Entries, string(record.KindKey)) {
		document, err := record.Decode(entry.Value)
		if err != nil {
			s.progress("warning: %s: %v", entry.Key, err)
			continue
		}
		key, ok := document.Value.(record.Key)
		if !ok || customer != "" && key.Customer != customer {
			continue
		}
		keys = append(keys, listedKey{
			Key: key.ID, Customer: key.Customer, Withdrawn: key.Withdrawn, Revision: entry.Revision, Author: document.Author,
		})
	}
	return s.print(keys, func(w io.Writer) {
		for _, key := range keys {
			_, _ = fmt.Fprintf(w, "%s customer=%s withdrawn=%v revision=%d author=%s\n", key.Key, key.Customer, key.Withdrawn, key.Revision, key.Author)
		}
	})
}
