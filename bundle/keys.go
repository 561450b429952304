package bundle

import (
	"crypto/ed25519"
	"crypto/rand"
	"crypto/sha256"
	"crypto/x509"
	"encoding/hex"
	"encoding/pem"
	"errors"
	"io/fs"
	"os"
	"time"
)

const (
	pemPrivate      = "PRIVATE KEY"
	pemPublic       = "PUBLIC KEY"
	pemNotAfter     = "Not-After" // PEM header with the expiry in RFC 3339 format
	keyFileMode     = 0o600
	maxKeyFileBytes = 16 << 10
	keyIDBytes      = 8
)

// PublicKey verifies signatures of releases. A zero NotAfter means that the key does not expire.
type PublicKey struct {
	ID       string
	Key      ed25519.PublicKey
	NotAfter time.Time
}

func (k PublicKey) expired(now time.Time) bool {
	return !k.NotAfter.IsZero() && !now.Before(k.NotAfter)
}

// TrustedKeys is the set of trusted keys. A node accepts only releases signed by one of them.
type TrustedKeys []PublicKey

func (t TrustedKeys) key(id string) (PublicKey, bool) {
	for _, key := range t {
		if key.ID == id {
			return key, true
		}
	}
	return PublicKey{}, false
}

// SigningKey is the private key with which an operator signs bundles.
type SigningKey struct {
	Public  PublicKey
	private ed25519.PrivateKey
}

// KeyID returns the identifier of a key: the first 8 bytes of the SHA-256 hash of the public key, in hexadecimal.
func KeyID(key ed25519.PublicKey) string {
	sum := sha256.Sum256(key)
	return hex.EncodeToString(sum[:keyIDBytes])
}

// GenerateKey returns a new key that expires at notAfter, or never when notAfter is zero.
func GenerateKey(notAfter time.Time) (*SigningKey, error) {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return nil, ErrNoKey.Wrap(err, "generate key")
	}
	return newSigningKey(public, private, notAfter), nil
}

func newSigningKey(public ed25519.PublicKey, private ed25519.PrivateKey, notAfter time.Time) *SigningKey {
	return &SigningKey{PublicKey{KeyID(public), public, notAfter.UTC().Truncate(time.Second)}, private}
}

// WriteFiles writes the private key to path with mode 0600 and the public key to path + ".pub". It does not overwrite
// existing files.
func (k *SigningKey) WriteFiles(path string) error {
	private, err := x509.MarshalPKCS8PrivateKey(k.private)
	if err != nil {
		return ErrKeyFile.Wrap(err, "encode key")
	}
	public, err := x509.MarshalPKIXPublicKey(k.Public.Key)
	if err != nil {
		return ErrKeyFile.Wrap(err, "encode key")
	}
	if err := writeNew(path, pemPrivate, private, k.Public.NotAfter, keyFileMode); err != nil {
		return err
	}
	return writeNew(path+".pub", pemPublic, public, k.Public.NotAfter, 0o644)
}

func writeNew(path, kind string, der []byte, notAfter time.Time, mode fs.FileMode) error {
	block := &pem.Block{Type: kind, Bytes: der}
	if !notAfter.IsZero() {
		block.Headers = map[string]string{pemNotAfter: notAfter.Format(time.RFC3339)}
	}
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if err != nil {
		return ErrKeyFile.Wrap(err, "create key file")
	}
	if err := errors.Join(pem.Encode(file, block), file.Close()); err != nil {
		return ErrKeyFile.Wrap(err, "write key %s", path)
	}
	return nil
}

// ReadSigningKey reads a private key file. It rejects files that other users may access.
func ReadSigningKey(path string) (*SigningKey, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, ErrNoKey.Wrap(err, "read signing key")
	}
	if info.Mode().Perm()&^keyFileMode != 0 {
		return nil, ErrKeyFile.New("%s has mode %04o: run chmod 600 on it", path, info.Mode().Perm())
	}
	der, notAfter, err := readPEM(path, pemPrivate)
	if err != nil {
		return nil, err
	}
	parsed, err := x509.ParsePKCS8PrivateKey(der)
	if err != nil {
		return nil, ErrKeyFile.Wrap(err, "parse private key in %s", path)
	}
	private, ok := parsed.(ed25519.PrivateKey)
	if !ok {
		return nil, ErrKeyFile.New("%s is not an ed25519 key", path)
	}
	return newSigningKey(private.Public().(ed25519.PublicKey), private, notAfter), nil
}

// ReadPublicKey reads a public key file.
func ReadPublicKey(path string) (PublicKey, error) {
	der, notAfter, err := readPEM(path, pemPublic)
	if err != nil {
		return PublicKey{}, err
	}
	parsed, err := x509.ParsePKIXPublicKey(der)
	if err != nil {
		return PublicKey{}, ErrKeyFile.Wrap(err, "parse public key in %s", path)
	}
	public, ok := parsed.(ed25519.PublicKey)
	if !ok {
		return PublicKey{}, ErrKeyFile.New("%s is not an ed25519 key", path)
	}
	return PublicKey{KeyID(public), public, notAfter}, nil
}

// ReadTrustedKeys reads the public key files that a node trusts.
func ReadTrustedKeys(paths []string) (TrustedKeys, error) {
	if len(paths) == 0 {
		return nil, ErrNoKey.New("no trusted key is given")
	}
	trust := make(TrustedKeys, len(paths))
	for i, path := range paths {
		key, err := ReadPublicKey(path)
		if err != nil {
			return nil, err
		}
		trust[i] = key
	}
	return trust, nil
}

func readPEM(path, kind string) (der []byte, notAfter time.Time, err error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, time.Time{}, ErrNoKey.Wrap(err, "read key file")
	}
	if len(raw) > maxKeyFileBytes {
		return nil, time.Time{}, ErrKeyFile.New("%s is too large for a key file", path)
	}
	block, _ := pem.Decode(raw)
	if block == nil || block.Type != kind {
		return nil, time.Time{}, ErrKeyFile.New("%s has no PEM block %q", path, kind)
	}
	if text, ok := block.Headers[pemNotAfter]; ok {
		if notAfter, err = time.Parse(time.RFC3339, text); err != nil {
			return nil, time.Time{}, ErrKeyFile.Wrap(err, "%s: parse header %s", path, pemNotAfter)
		}
	}
	return block.Bytes, notAfter, nil
}
