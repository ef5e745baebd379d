package hvjob

import (
	"encoding/json"
	"slices"
	"sort"
)

// RoundRange is a range of round numbers, including both ends.
type RoundRange struct{ First, Last int }

// RoundSet is a set of round numbers: ascending ranges that neither overlap nor touch.
// A schedule completes its rounds almost in order, so the set stays small however many
// rounds it has. It is immutable. JSON encodes a range as [first,last] and a single number
// as itself; records of earlier builds list all numbers.
type RoundSet []RoundRange

// Has reports whether n is in the set.
func (s RoundSet) Has(n int) bool {
	i := s.search(n)
	return i < len(s) && s[i].First <= n
}

// search returns the index of the first range that ends at n or later.
func (s RoundSet) search(n int) int {
	return sort.Search(len(s), func(i int) bool { return s[i].Last >= n })
}

// With returns a copy that contains n.
func (s RoundSet) With(n int) RoundSet {
	i := s.search(n)
	if i < len(s) && s[i].First <= n {
		return s
	}
	out := slices.Insert(slices.Clone(s), i, RoundRange{n, n})
	if i+1 < len(out) && out[i+1].First == n+1 {
		out[i].Last = out[i+1].Last
		out = slices.Delete(out, i+1, i+2)
	}
	if i > 0 && out[i-1].Last == n-1 {
		out[i-1].Last = out[i].Last
		out = slices.Delete(out, i, i+1)
	}
	return out
}

// Count returns the number of rounds in the set.
func (s RoundSet) Count() int {
	n := 0
	for _, r := range s {
		n += r.Last - r.First + 1
	}
	return n
}

// NextMissing returns the least number from n on that is not in the set.
func (s RoundSet) NextMissing(n int) int {
	if i := s.search(n); i < len(s) && s[i].First <= n {
		return s[i].Last + 1
	}
	return n
}

// MarshalJSON implements json.Marshaler.
func (s RoundSet) MarshalJSON() ([]byte, error) {
	list := make([]any, 0, len(s))
	for _, r := range s {
		if r.First == r.Last {
			list = append(list, r.First)
		} else {
			list = append(list, [2]int{r.First, r.Last})
		}
	}
	return json.Marshal(list)
}

// UnmarshalJSON decodes a set and returns an error for an empty range.
func (s *RoundSet) UnmarshalJSON(b []byte) error {
	var list []json.RawMessage
	if err := json.Unmarshal(b, &list); err != nil {
		return err
	}
	var singles []int
	var out RoundSet
	for _, raw := range list {
		var n int
		if json.Unmarshal(raw, &n) == nil {
			singles = append(singles, n)
			continue
		}
		var r [2]int
		if err := json.Unmarshal(raw, &r); err != nil {
			return err
		}
		if r[0] > r[1] {
			return invalid("rounds", "range from %d to %d is empty", r[0], r[1])
		}
		out = append(out, RoundRange{r[0], r[1]})
	}
	slices.SortFunc(out, func(a, b RoundRange) int { return a.First - b.First })
	for i := 1; i < len(out); i++ {
		if out[i].First <= out[i-1].Last {
			return invalid("rounds", "ranges from %d and %d overlap", out[i-1].First, out[i].First)
		}
	}
	slices.Sort(singles)
	for _, n := range singles {
		out = out.With(n)
	}
	*s = out
	return nil
}
