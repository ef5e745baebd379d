package hvplace

import hv "hibiscusvane.example/hibiscusvane"

// tally counts tasks of one program or group by zone and rack.
type tally struct {
	total int
	zones map[string]int
	racks map[string]int
}

// spread counts the tasks of each program and group over the fleet.
type spread map[string]*tally

// groupKey keeps the names of groups apart from the names of programs.
func groupKey(group string) string { return "group=" + group }

func (s spread) add(key string, h hv.Host, n int) {
	if n == 0 {
		return
	}
	t := s[key]
	if t == nil {
		t = &tally{zones: map[string]int{}, racks: map[string]int{}}
		s[key] = t
	}
	t.total += n
	change(t.zones, h.Zone, n)
	change(t.racks, h.Rack, n)
	if t.total <= 0 {
		delete(s, key)
	}
}

// change adds n to a count and forgets counts that are no longer positive, so
// that the map stays as small as what runs.
func change(counts map[string]int, key string, n int) {
	if counts[key]+n <= 0 {
		delete(counts, key)
		return
	}
	counts[key] += n
}

func (s spread) addView(v hv.HostView, sign int) {
	for program, n := range v.Programs {
		s.add(program, v.Host, sign*n)
	}
	for group, n := range v.Groups {
		s.add(groupKey(group), v.Host, sign*n)
	}
}

// The loss of a zone is rarer than the loss of a rack or a host but takes the
// most with it.
const (
	zoneWeight = 1.0
	rackWeight = 0.7
	hostWeight = 0.5
)

// crowding is the weighted share of the tasks of a key that the zone, the rack
// and the host already have.
func (s spread) crowding(key string, h hv.Host, onHost int) float64 {
	t := s[key]
	if t == nil {
		return 0
	}
	sum := zoneWeight*float64(t.zones[h.Zone]) + hostWeight*float64(onHost)
	if h.Rack != "" {
		sum += rackWeight * float64(t.racks[h.Rack])
	}
	return sum / float64(t.total)
}
