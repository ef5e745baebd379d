// Package hvkey implements idempotency keys: the store in which a side keeps the
// keys and their responses, and the table of the owners of key slots.
package hvkey

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
)

// SlotCount is the number of key slots of a service.
const SlotCount = 256

const (
	// Retention is the least time for which a key is stored after its request
	// ended.
	Retention = 10 * time.Minute
	// MaxRequestDuration is the longest deadline of a request. A request that the
	// previous owner of a slot had started ends within this time.
	MaxRequestDuration = time.Minute
	// MaxClockSkew is the largest assumed difference between the clocks of
	// callers, sides and the log service.
	MaxClockSkew = 2 * time.Second
	// maxKeyBytes bounds the length of a key. It is the same as for all
	// identifiers that callers choose.
	maxKeyBytes = 128
)

// SlotOf returns the key slot of a key.
func SlotOf(key string) int { return int(xxhash.Sum64String(key) % SlotCount) }

// creationTime returns the creation time in a key that is a UUID of version 7.
func creationTime(key string) (time.Time, bool) {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return time.Time{}, false
	}
	return time.Unix(id.Time().UnixTime()), true
}
