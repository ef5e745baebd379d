package hvmember

import "github.com/google/uuid"

// timeOrderedVersion is the UUID version whose text sorts by creation time.
const timeOrderedVersion = 7

// older reports whether incarnation a was certainly created before b on the
// same host. Incarnations that are not UUIDs of version 7 are not comparable.
func older(a, b string) bool {
	ua, errA := uuid.Parse(a)
	ub, errB := uuid.Parse(b)
	if errA != nil || errB != nil || ua.Version() != timeOrderedVersion || ub.Version() != timeOrderedVersion {
		return false
	}
	return ua.String() < ub.String()
}
