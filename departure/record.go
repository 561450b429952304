package departure

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"github.com/magnoliawharf/magnoliawharf/peer"
)

// keyHashBytes is the part of the hash of an ID that its key holds. IDs may be long and may hold any bytes; keys may not.
const keyHashBytes = 16

// record is the value of a key.
type record struct {
	Upstream string `json:"upstream"` // for readers of the store; the key tells which upstream it is
	Born     int64  `json:"born"`     // latest start that has departed, in ms since the Unix epoch, by the upstream's clock
}

// key returns the key of the upstream with the ID.
func key(prefix, upstream string) string {
	hash := sha256.Sum256([]byte(upstream))
	return prefix + hex.EncodeToString(hash[:keyHashBytes])
}

func encode(d peer.Departure) ([]byte, error) {
	return json.Marshal(record{Upstream: d.Upstream, Born: d.Born})
}

// decode returns the departure in the value of the key of the upstream.
func decode(upstream string, value []byte) (peer.Departure, error) {
	var r record
	if err := json.Unmarshal(value, &r); err != nil {
		return peer.Departure{}, fmt.Errorf("record of the departure of %q: %w", upstream, err)
	}
	return peer.Departure{Upstream: upstream, Born: r.Born}, nil
}
