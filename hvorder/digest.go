package hvorder

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Digest summarizes a set of runs, regardless of their order. The zero value is not a
// digest.
type Digest uint64

// EmptyDigest is the digest of no runs.
const EmptyDigest Digest = 1

// With returns the digest of the set with one more run.
func (d Digest) With(r Run) Digest {
	return d + Digest(xxhash.Sum64String(r.Task+"@"+strconv.Itoa(r.Run)))
}
