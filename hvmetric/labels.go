package hvmetric

import (
	"strconv"
	"strings"
	"sync"
)

// Other is the label value of everything beyond the bounds of a registry.
const Other = "other"

// values admits a bounded number of distinct label values.
type values struct {
	mu    sync.RWMutex
	limit int
	known map[string]bool
}

func newValues(limit int) *values { return &values{limit: limit, known: map[string]bool{}} }

// bound returns v, or Other if too many distinct values came before it.
func (s *values) bound(v string) string {
	s.mu.RLock()
	known := s.known[v]
	s.mu.RUnlock()
	if known {
		return v
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.known[v] {
		if len(s.known) >= s.limit {
			return Other
		}
		s.known[v] = true
	}
	return v
}

// series returns the full name of a series. Pairs alternate name and value.
func series(name string, pairs ...string) string {
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
