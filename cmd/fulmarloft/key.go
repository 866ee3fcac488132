package main

import (
	"fmt"
	"net/http"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/fulmarloft/fulmarloft/internal/configuration/operatorapi"
	"github.com/fulmarloft/fulmarloft/pkg/bundle"
	"github.com/fulmarloft/fulmarloft/pkg/code"
	"github.com/fulmarloft/fulmarloft/pkg/key"
	"github.com/fulmarloft/fulmarloft/pkg/signoff"
)

// keyChange holds the flags of a command that changes keys. The operator signs and publishes the changed bundle, or writes it to a file for other operators to sign.
type keyChange struct {
	call           *adminCall
	privateKeyFile *string
	outFile        *string
}

const secretFileMode = 0o600

func keyCommands(app *kingpin.Application) []command {
	top := app.Command("key", "Create, rotate and withdraw keys of teams.")
	create := top.Command("create", "Create a key for a team and print its secret, which cannot be shown again.")
	createTeam := create.Arg("team", "Name of the team.").Required().String()
	createID := create.Arg("id", "Id of the new key, which must never have been used before.").Required().String()
	createChange := newKeyChange(create)
	rotate := top.Command("rotate", "Create a key for a team and withdraw an old key.")
	rotateTeam := rotate.Arg("team", "Name of the team.").Required().String()
	rotateOld := rotate.Arg("old", "Id of the key to withdraw.").Required().String()
	rotateID := rotate.Arg("id", "Id of the new key.").Required().String()
	rotateChange := newKeyChange(rotate)
	withdraw := top.Command("withdraw", "Withdraw a key permanently.")
	withdrawID := withdraw.Arg("id", "Id of the key.").Required().String()
	withdrawChange := newKeyChange(withdraw)
	return []command{
		{create.FullCommand(), func() error { return createChange.create(*createTeam, *createID) }},
		{rotate.FullCommand(), func() error { return rotateChange.rotate(*rotateTeam, *rotateOld, *rotateID) }},
		{withdraw.FullCommand(), func() error { return withdrawChange.withdraw(*withdrawID) }},
	}
}

func newKeyChange(cm *kingpin.CmdClause) *keyChange {
	return &keyChange{
		call:           newAdminCall(cm),
		privateKeyFile: cm.Flag("private-key", "PEM file of the operator's ed25519 private key (PKCS #8); with it the change is signed and published.").String(),
		outFile:        cm.Flag("out", "File to write the changed bundle to instead, for 'bundle sign' and 'bundle publish'.").String(),
	}
}

func (kc *keyChange) create(name, id string) error {
	ky, secret := key.New(id)
	return kc.applyWithSecret(secret, func(bd *bundle.Bundle) (*bundle.Bundle, error) { return bd.WithKey(name, ky) })
}

func (kc *keyChange) rotate(name, old, id string) error {
	ky, secret := key.New(id)
	return kc.applyWithSecret(secret, func(bd *bundle.Bundle) (*bundle.Bundle, error) {
		with, err := bd.WithKey(name, ky)
		if err != nil {
			return nil, err
		}
		return with.WithoutKey(old)
	})
}

func (kc *keyChange) withdraw(id string) error {
	return kc.apply(func(bd *bundle.Bundle) (*bundle.Bundle, error) { return bd.WithoutKey(id) }, func() {})
}

// applyWithSecret applies a change that creates a key and prints the key's secret if the key was created or may have been.
func (kc *keyChange) applyWithSecret(secret string, change func(bd *bundle.Bundle) (*bundle.Bundle, error)) error {
	begun := false
	err := kc.apply(change, func() { begun = true })
	if cd := code.Of(err); begun && (cd == code.OK || cd == code.TableInDoubt || cd == code.PeerUnreachable) {
		fmt.Println(secret)
	}
	return err
}

// apply changes the bundle that the entry holds and calls begin before the change may take effect. If another version is published in the meantime, publishing fails with a conflict.
func (kc *keyChange) apply(change func(bd *bundle.Bundle) (*bundle.Bundle, error), begin func()) error {
	if (*kc.privateKeyFile == "") == (*kc.outFile == "") {
		return code.SettingsInvalid.New("expected either --private-key or --out")
	}
	raw, err := kc.call.send(http.MethodGet, bundlePath, nil, nil)
	if err != nil {
		return err
	}
	bd, err := bundle.Parse(raw)
	if err != nil {
		return err
	}
	next, err := change(bd)
	if err != nil {
		return err
	}
	if next, err = next.WithVersion(bd.Version() + 1); err != nil {
		return err
	}
	proposed, err := next.Bytes()
	if err != nil {
		return err
	}
	if *kc.outFile != "" {
		begin()
		return os.WriteFile(*kc.outFile, proposed, secretFileMode)
	}
	priv, err := readPrivateKey(*kc.privateKeyFile)
	if err != nil {
		return err
	}
	sign := signoff.New(*kc.call.operator, priv, next.Hash())
	begin()
	return printBody(kc.call.send(http.MethodPost, bundlePath, http.Header{operatorapi.SignOffHeader: {sign.String()}}, proposed))
}
