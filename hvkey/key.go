// Package hvkey keeps idempotency keys: the memory of a side, and the table of
// the owners of key slots.
package hvkey

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
)

// SlotCount is the number of key slots of a service.
const SlotCount = 256

const (
	// Retention is how long a key is remembered at least.
	Retention = 10 * time.Minute
	// MaxRequestDuration is the longest deadline of a request. A request that the
	// previous owner of a slot had begun ends that much later at most.
	MaxRequestDuration = time.Minute
	// MaxClockSkew bounds the difference between the clocks of callers, sides
	// and the log service.
	MaxClockSkew = 2 * time.Second
	// maxKeyBytes bounds a key, like all identifiers that callers choose.
	maxKeyBytes = 128
)

// SlotOf returns the key slot of a key.
func SlotOf(key string) int { return int(xxhash.Sum64String(key) % SlotCount) }

// creationTime returns the creation time that a UUID of version 7 carries.
func creationTime(key string) (time.Time, bool) {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return time.Time{}, false
	}
	return time.Unix(id.Time().UnixTime()), true
}
