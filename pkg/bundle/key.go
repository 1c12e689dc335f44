package bundle

import (
	"crypto/ed25519"
	"encoding/base64"
	"io"
	"strings"

	"github.com/cockroachdb/errors"
)

// ErrInvalidKey means that a key or a list of operators could not be parsed.
var ErrInvalidKey = errors.New("the key is not valid")

// GenerateKey returns a new private key, and its public key in base64.
func GenerateKey(random io.Reader) (ed25519.PrivateKey, string, error) {
	public, private, err := ed25519.GenerateKey(random)
	if err != nil {
		return nil, "", errors.Wrap(err, "generate key")
	}
	return private, base64.StdEncoding.EncodeToString(public), nil
}

// FormatPrivateKey returns the seed of a private key in base64.
func FormatPrivateKey(key ed25519.PrivateKey) string {
	return base64.StdEncoding.EncodeToString(key.Seed())
}

// ParsePrivateKey parses what FormatPrivateKey returned.
func ParsePrivateKey(text string) (ed25519.PrivateKey, error) {
	seed, err := base64.StdEncoding.DecodeString(strings.TrimSpace(text))
	if err != nil || len(seed) != ed25519.SeedSize {
		return nil, errors.Wrap(ErrInvalidKey, "private key: want 32 bytes in base64")
	}
	return ed25519.NewKeyFromSeed(seed), nil
}

// ParseRoots parses the root operators, the trust anchor of a chain, from
// "name=public-key" pairs separated by commas.
func ParseRoots(text string, threshold int) (Operators, error) {
	o := Operators{Threshold: threshold}
	for _, pair := range strings.Split(text, ",") {
		name, public, ok := strings.Cut(strings.TrimSpace(pair), "=")
		if !ok {
			return Operators{}, errors.Wrapf(ErrInvalidKey, "operator %q: want name=public-key", pair)
		}
		o.Keys = append(o.Keys, Key{Name: name, PublicKey: public})
	}
	var c checker
	c.operators(&o)
	return o, c.err
}
