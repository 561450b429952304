package caller

import "crypto/sha256"

// Credential is the digest of a key that a caller has presented. Code that decides handles the digest only, so that the key itself
// cannot reach a log line, a metric or an error.
type Credential [sha256.Size]byte

// stackKeyBytes is the length of the longest key whose digest is made without a heap allocation.
const stackKeyBytes = 128

// CredentialOf returns the digest of the key.
func CredentialOf(key string) Credential {
	var buffer [stackKeyBytes]byte
	return sha256.Sum256(append(buffer[:0], key...))
}
