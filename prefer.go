package hibiscusvane

// Preference states which of two goals an operator gives the most weight.
type Preference string

const (
	// Throughput gives batch work the most weight.
	Throughput Preference = "throughput"
	// Latency gives the tail latency of services the most weight.
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

// ViolationReporter reports the violation of an invariant of docs/design.md. It
// counts and logs in production and fails the test in tests.
type ViolationReporter func(invariant int, message string)

// GroupLabel is the label whose value names a group of tasks that are spread
// over racks and availability zones like the tasks of one program.
const GroupLabel = "group"
