package hvmember

import "github.com/google/uuid"

// timeOrderedVersion is the UUID version whose text form sorts by creation time.
const timeOrderedVersion = 7

// older reports whether incarnation a was created before incarnation b on the same
// host. It is false unless both are UUIDs of version 7, as others cannot be
// compared.
func older(a, b string) bool {
	ua, errA := uuid.Parse(a)
	ub, errB := uuid.Parse(b)
	if errA != nil || errB != nil || ua.Version() != timeOrderedVersion || ub.Version() != timeOrderedVersion {
		return false
	}
	return ua.String() < ub.String()
}
