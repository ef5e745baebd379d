package hvjob_test

import (
	"encoding/json"
	"math/rand/v2"
	"slices"
	"testing"

	"hibiscusvane.example/hibiscusvane/hvjob"
)

// Guards against a set of complete rounds that grows with their number, that loses a round,
// which then runs again, or that has one too many.
func TestRoundSetHoldsWhatWasAdded(t *testing.T) {
	const rounds = 2000
	order := rand.New(rand.NewPCG(1, 2)).Perm(rounds)
	var set hvjob.RoundSet
	added := map[int]bool{}
	for i, n := range order {
		older := set
		set = set.With(n).With(n)
		added[n] = true
		if set.Count() != i+1 || older.Has(n) {
			t.Fatalf("after %d numbers the set has %d, and the older one contains %d: %v", i+1, set.Count(), n, older.Has(n))
		}
		if i%100 > 0 {
			continue
		}
		for n := range rounds {
			if set.Has(n) != added[n] {
				t.Fatalf("Has(%d) is %v after %d numbers", n, set.Has(n), i+1)
			}
			missing := n
			for added[missing] {
				missing++
			}
			if got := set.NextMissing(n); got != missing {
				t.Fatalf("NextMissing(%d) is %d, want %d", n, got, missing)
			}
		}
		b, err := json.Marshal(set)
		var decoded hvjob.RoundSet
		if err != nil || json.Unmarshal(b, &decoded) != nil || !slices.Equal(decoded, set) {
			t.Fatalf("%s is decoded as %v, want %v; %v", b, decoded, set, err)
		}
	}
	if len(set) != 1 {
		t.Errorf("set of all rounds has %d ranges, want 1", len(set))
	}
}

// Guards against jobs that were accepted by an earlier build and cannot be read, and against
// sets that would be taken for others.
func TestRoundSetDecodesListsOfEarlierBuilds(t *testing.T) {
	for text, want := range map[string]hvjob.RoundSet{
		`[2,0,1,5]`:        {{First: 0, Last: 2}, {First: 5, Last: 5}},
		`[]`:               nil,
		`null`:             nil,
		`[[3,9],11,[0,1]]`: {{First: 0, Last: 1}, {First: 3, Last: 9}, {First: 11, Last: 11}},
		`[[3,9],4]`:        {{First: 3, Last: 9}},
	} {
		var got hvjob.RoundSet
		if err := json.Unmarshal([]byte(text), &got); err != nil || !slices.Equal(got, want) {
			t.Errorf("%s is decoded as %v, want %v; %v", text, got, want, err)
		}
	}
	for _, text := range []string{`[[9,3]]`, `[[1,5],[4,8]]`, `["a"]`, `[[1]]x`, `{}`} {
		var got hvjob.RoundSet
		if err := json.Unmarshal([]byte(text), &got); err == nil {
			t.Errorf("%s is decoded as %v, want an error", text, got)
		}
	}
}
