package main

import (
	"crypto/ed25519"
	"crypto/x509"
	"encoding/pem"
	"fmt"
	"net/http"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/fulmarloft/fulmarloft/internal/configuration/bundledelta"
	"github.com/fulmarloft/fulmarloft/internal/configuration/operatorapi"
	"github.com/fulmarloft/fulmarloft/pkg/bundle"
	"github.com/fulmarloft/fulmarloft/pkg/code"
	"github.com/fulmarloft/fulmarloft/pkg/signoff"
)

const (
	bundlePath        = "/v1/bundle"
	statusPath        = "/v1/bundle/status"
	privateKeyPEMType = "PRIVATE KEY"
)

func bundleCommands(app *kingpin.Application) []command {
	top := app.Command("bundle", "Check, sign and publish the fleet's configuration.")
	check := top.Command("check", "Validate a bundle file and print its version and hash.")
	checkFile := check.Arg("file", "Bundle file.").Required().ExistingFile()
	diff := top.Command("diff", "Show the differences between two bundle files.")
	diffOld := diff.Arg("old", "Old bundle file.").Required().ExistingFile()
	diffNew := diff.Arg("new", "New bundle file.").Required().ExistingFile()
	sign := top.Command("sign", "Print an operator's sign-off of a bundle file.")
	signFile := sign.Arg("file", "Bundle file.").Required().ExistingFile()
	signName := sign.Flag("operator", "Name of the operator as listed in the bundle.").Required().String()
	signKey := sign.Flag("private-key", "PEM file of the operator's ed25519 private key (PKCS #8).").Required().ExistingFile()
	cmds := []command{
		{check.FullCommand(), func() error { return checkBundle(*checkFile) }},
		{diff.FullCommand(), func() error { return diffBundles(*diffOld, *diffNew) }},
		{sign.FullCommand(), func() error { return signBundle(*signFile, *signName, *signKey) }},
	}
	return append(cmds, bundleAPICommands(top)...)
}

func bundleAPICommands(top *kingpin.CmdClause) []command {
	publish := top.Command("publish", "Publish a signed bundle as the next version.")
	file := publish.Arg("file", "Bundle file.").Required().ExistingFile()
	signOffs := publish.Flag("sign-off", "Sign-off printed by 'bundle sign'; may be repeated.").Required().Strings()
	call := newAdminCall(publish)
	get := top.Command("get", "Print the bundle that an entry holds.")
	getCall := newAdminCall(get)
	status := top.Command("status", "Show the roll-out status of the newest version on each entry.")
	statusCall := newAdminCall(status)
	return []command{
		{publish.FullCommand(), func() error { return publishBundle(call, *file, *signOffs) }},
		{get.FullCommand(), func() error { return printBody(getCall.send(http.MethodGet, bundlePath, nil, nil)) }},
		{status.FullCommand(), func() error { return printBody(statusCall.send(http.MethodGet, statusPath, nil, nil)) }},
	}
}

func checkBundle(file string) error {
	bd, err := readBundle(file)
	if err != nil {
		return err
	}
	fmt.Printf("version=%d hash=%s\n", bd.Version(), bd.Hash())
	return nil
}

func diffBundles(old, next string) error {
	var raws [][]byte
	for _, file := range []string{old, next} {
		bd, err := readBundle(file)
		if err != nil {
			return err
		}
		raw, err := bd.Bytes()
		if err != nil {
			return err
		}
		raws = append(raws, raw)
	}
	for _, line := range bundledelta.Lines(raws[0], raws[1]) {
		fmt.Println(line)
	}
	return nil
}

func signBundle(file, name, keyFile string) error {
	bd, err := readBundle(file)
	if err != nil {
		return err
	}
	priv, err := readPrivateKey(keyFile)
	if err != nil {
		return err
	}
	fmt.Println(signoff.New(name, priv, bd.Hash()))
	return nil
}

func publishBundle(call *adminCall, file string, signOffs []string) error {
	raw, err := os.ReadFile(file)
	if err != nil {
		return code.BundleMalformed.Wrap(err)
	}
	return printBody(call.send(http.MethodPost, bundlePath, http.Header{operatorapi.SignOffHeader: signOffs}, raw))
}

func readBundle(file string) (*bundle.Bundle, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, code.BundleMalformed.Wrap(err)
	}
	return bundle.Parse(raw)
}

func readPrivateKey(file string) (ed25519.PrivateKey, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, code.SettingsInvalid.Wrap(err)
	}
	block, _ := pem.Decode(raw)
	if block == nil || block.Type != privateKeyPEMType {
		return nil, code.SettingsInvalid.New("%s: expected an ed25519 private key in PEM (PKCS #8)", file)
	}
	parsed, err := x509.ParsePKCS8PrivateKey(block.Bytes)
	if err != nil {
		return nil, code.SettingsInvalid.New("%s: cannot parse the private key: %w", file, err)
	}
	priv, ok := parsed.(ed25519.PrivateKey)
	if !ok {
		return nil, code.SettingsInvalid.New("%s: expected an ed25519 private key", file)
	}
	return priv, nil
}

func printBody(raw []byte, err error) error {
	if err != nil {
		return err
	}
	_, err = os.Stdout.Write(raw)
	return err
}
