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

func (inv *invocation) addKeyCommands(ctx context.Context, app *kingpin.Application) {
	key := app.Command("key", "Create, withdraw and list the keys of customers.")

	create := key.Command("new", "Create a key and print its secret, once.")
	createID := create.Arg("id", "Id of the key, the user name that callers give.").Required().String()
	createCustomer := create.Flag("customer", "The customer that the key belongs to.").Required().String()
	create.Action(inv.storeAction(ctx, func(ctx context.Context) error {
		return inv.newKey(ctx, topology.KeyID(*createID), topology.CustomerID(*createCustomer))
	}))

	withdraw := key.Command("withdraw", "Withdraw a key; its open sessions are closed.")
	withdrawID := withdraw.Arg("id", "Id of the key.").Required().String()
	var withdrawFlags writeFlags
	withdrawFlags.registerCommon(withdraw)
	withdraw.Action(inv.storeAction(ctx, func(ctx context.Context) error { return inv.withdrawKey(ctx, *withdrawID, withdrawFlags) }))

	list := key.Command("list", "List keys.")
	listCustomer := list.Flag("customer", "Only the keys of this customer.").String()
	list.Action(inv.storeAction(ctx, func(ctx context.Context) error { return inv.listKeys(ctx, topology.CustomerID(*listCustomer)) }))
}

// createdKey is the result of creating a key. The secret is printed once and stored
// nowhere.
type createdKey struct {
	change.Result
	Key    topology.KeyID `json:"key"`
	Secret string         `json:"secret"`
}

// newKey creates a key with a random secret. It decodes the encoded record before
// writing, so that an invalid ID is rejected as in a file.
func (inv *invocation) newKey(ctx context.Context, id topology.KeyID, customer topology.CustomerID) error {
	secret := inv.NewSecret()
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
	if err := inv.checkReferences(ctx, []*record.Document{document}, nil); err != nil {
		return err
	}
	result, err := change.NewWriter(inv.store, inv.author).Apply(ctx, change.NewPutRequest(document, inv.NewChangeID(), false))
	if err != nil {
		return err
	}
	created := createdKey{Result: result, Key: id, Secret: secret}
	return inv.printResult(created, func(w io.Writer) {
		_, _ = fmt.Fprintf(w, "key %s of customer %s change=%s revision=%d\nsecret %s\n", id, customer, result.Change, result.Revision, secret)
	})
}

// withdrawKey withdraws a key, whichever version of its record is current. It needs no
// base version: withdrawing is idempotent and keeps the rest of the record.
func (inv *invocation) withdrawKey(ctx context.Context, id string, flags writeFlags) error {
	name := record.Name(record.KindKey, id)
	changeID, rerun := inv.changeID(flags)
	result, err := change.NewWriter(inv.store, inv.author).Apply(ctx, change.Request{
		Kind: record.KindKey, ID: id, Change: changeID, Rerun: rerun, Overwrite: true,
		Edit: func(current *record.Document) (*record.Document, error) { return withdrawnVersion(name, current) },
	})
	if err != nil {
		return err
	}
	return inv.printAndAwait(ctx, []change.Result{result}, flags.admins)
}

// withdrawnVersion returns the record with the key withdrawn.
func withdrawnVersion(name string, current *record.Document) (*record.Document, error) {
	if current == nil {
		return nil, &change.NotFoundError{Name: name}
	}
	key, ok := current.Value.(record.Key)
	if !ok {
		return nil, eris.Errorf("record %s is not a key", name)
	}
	key.Withdrawn = true
	next := *current
	next.Value = key
	return &next, nil
}

// listedKey is a key in the output of key list. It leaves out the verifier.
type listedKey struct {
	Key       topology.KeyID      `json:"key"`
	Customer  topology.CustomerID `json:"customer"`
	Withdrawn bool                `json:"withdrawn"`
	Revision  store.Revision      `json:"revision"`
	Author    string              `json:"author"`
}

// listKeys prints the keys of one customer, or all keys. Records that cannot be decoded
// are reported as warnings.
func (inv *invocation) listKeys(ctx context.Context, customer topology.CustomerID) error {
	state, err := change.LoadConfiguration(ctx, inv.store)
	if err != nil {
		return err
	}
	keys := []listedKey{}
	for _, entry := range entriesOfKind(state.Entries, string(record.KindKey)) {
		document, err := record.Decode(entry.Value)
		if err != nil {
			inv.printProgress("warning: %s: %v", entry.Key, err)
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
	return inv.printResult(keys, func(w io.Writer) {
		for _, key := range keys {
			_, _ = fmt.Fprintf(w, "%s customer=%s withdrawn=%v revision=%d author=%s\n", key.Key, key.Customer, key.Withdrawn, key.Revision, key.Author)
		}
	})
}
