package main

import (
	"crypto/ed25519"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/goccy/go-yaml"

	"github.com/fulmarloft/fulmarloft/pkg/code"
	"github.com/fulmarloft/fulmarloft/pkg/operator"
)

func operatorCommands(app *kingpin.Application) []command {
	top := app.Command("operator", "Manage operators, who sign off bundles.")
	create := top.Command("create", "Generate a signing key and print the operator's entry for the bundle.")
	name := create.Arg("name", "Name of the operator.").Required().String()
	out := create.Flag("out", "File to write the private key to (PEM, PKCS #8); it must not exist yet.").Required().String()
	return []command{{create.FullCommand(), func() error { return createOperator(*name, *out) }}}
}

func createOperator(name, out string) error {
	pub, priv, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return code.Internal.Wrap(err)
	}
	der, err := x509.MarshalPKCS8PrivateKey(priv)
	if err != nil {
		return code.Internal.Wrap(err)
	}
	file, err := os.OpenFile(out, os.O_WRONLY|os.O_CREATE|os.O_EXCL, secretFileMode)
	if err != nil {
		return code.SettingsInvalid.Wrap(err)
	}
	if err := pem.Encode(file, &pem.Block{Type: privateKeyPEMType, Bytes: der}); err != nil {
		return code.SettingsInvalid.Wrap(err)
	}
	if err := file.Close(); err != nil {
		return code.SettingsInvalid.Wrap(err)
	}
	raw, err := yaml.Marshal([]operator.Operator{operator.New(name, pub)})
	if err != nil {
		return code.Internal.Wrap(err)
	}
	fmt.Print(string(raw))
	return nil
}
