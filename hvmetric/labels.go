package hvmetric

import (
	"strconv"
	"strings"
	"sync"
)

// Other is the label value that replaces values beyond the limit of a registry.
const Other = "other"

// labelValues admits a bounded number of distinct label values.
type labelValues struct {
	mu    sync.RWMutex
	limit int
	seen  map[string]bool
}

func newLabelValues(limit int) *labelValues {
	return &labelValues{limit: limit, seen: map[string]bool{}}
}

// limitValue returns v, or Other if v is new and the limit of distinct values is
// reached.
func (s *labelValues) limitValue(v string) string {
	s.mu.RLock()
	seen := s.seen[v]
	s.mu.RUnlock()
	if seen {
		return v
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.seen[v] {
		if len(s.seen) >= s.limit {
			return Other
		}
		s.seen[v] = true
	}
	return v
}

// seriesName returns the full name of a series. Pairs alternate label name
// and value.
func seriesName(name string, pairs ...string) string {
	var b strings.Builder
	b.WriteString(name)
	for i := 0; i+1 < len(pairs); i += 2 {
		if i == 0 {
			b.WriteByte('{')
		} else {
			b.WriteByte(',')
		}
		b.WriteString(pairs[i])
		b.WriteByte('=')
		b.WriteString(strconv.Quote(pairs[i+1]))
	}
	if len(pairs) > 1 {
		b.WriteByte('}')
	}
	return b.String()
}
