package caller

import "crypto/sha256"

// Credential is the digest of a key that a caller has presented. Code that decides handles the digest only, so that the key itself
// cannot reach a log line, a metric or an error.
type Credential [sha256.Size]byte

// CredentialOf returns the digest of the key.
func CredentialOf(key string) Credential { return sha256.Sum256([]byte(key)) }
