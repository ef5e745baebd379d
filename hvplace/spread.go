package hvplace

import hv "hibiscusvane.example/hibiscusvane"

// taskCounts counts the tasks of one program or group by zone and rack.
type taskCounts struct {
	total int
	zones map[string]int
	racks map[string]int
}

// spread holds the task counts of each program and group across the fleet.
type spread map[string]*taskCounts

// groupKey returns the key of a group, which differs from every key of a
// program.
func groupKey(group string) string { return "group=" + group }

func (s spread) add(key string, h hv.Host, n int) {
	if n == 0 {
		return
	}
	t := s[key]
	if t == nil {
		t = &taskCounts{zones: map[string]int{}, racks: map[string]int{}}
		s[key] = t
	}
	t.total += n
	adjust(t.zones, h.Zone, n)
	adjust(t.racks, h.Rack, n)
	if t.total <= 0 {
		delete(s, key)
	}
}

// adjust adds n to a count and removes counts that are no longer positive, so
// that the map does not outgrow the programs that run.
func adjust(counts map[string]int, key string, n int) {
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

// The loss of a zone is rarer than the loss of a rack or host but affects the
// most tasks, so sharing a zone weighs the most.
const (
	zoneWeight = 1.0
	rackWeight = 0.7
	hostWeight = 0.5
)

// concentration is the weighted share of the tasks of a key that already run in
// the zone, in the rack and on the host.
func (s spread) concentration(key string, h hv.Host, onHost int) float64 {
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
