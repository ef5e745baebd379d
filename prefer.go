package hibiscusvane

// Preference is the goal to which an operator gives the most weight.
type Preference string

const (
	// Throughput prefers the throughput of batch work.
	Throughput Preference = "throughput"
	// Latency prefers the tail latency of services.
	Latency Preference = "latency"
)

// UnmarshalText accepts only a known preference.
func (p *Preference) UnmarshalText(b []byte) error {
	switch v := Preference(b); v {
	case Throughput, Latency:
		*p = v
		return nil
	}
	return errorf("decode", Invalid, "prefer %q is not one of throughput, latency", b)
}

// ViolationReporter reports the violation of an invariant listed in
// docs/design.md. In production it counts and logs the violation; in tests it
// fails the test.
type ViolationReporter func(invariant int, message string)

// GroupLabel is the label whose value names a group of tasks. The tasks of a
// group are spread over racks and availability zones like those of one program.
const GroupLabel = "group"
