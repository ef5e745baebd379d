package hvfair

import (
	"slices"
	"testing"
	"time"
)

// Guards against victims that are not needed, against a choice that stops more runs than
// allowed, and against one that does not free enough.
func TestChooseLeastLoss(t *testing.T) {
	units := []Unit{
		{Amount{1, 1}, 1, 1}, {Amount{2, 1}, 1, 2}, {Amount{4, 1}, 1, 4}, {Amount{0, 9}, 1, 0}, {Amount{9, 9}, 4, 3},
	}
	for _, k := range []struct {
		missing Amount
		limit   int
		want    []int
	}{
		{Amount{1}, 1, []int{0}},
		{Amount{2}, 1, []int{1}},
		{Amount{3, 2}, 9, []int{1, 0}},
		{Amount{4}, 1, []int{2}},
		{Amount{4}, 9, []int{4}},
		{Amount{5}, 3, []int{0, 2}},
		{Amount{7}, 2, nil},
		{Amount{99}, 9, nil},
	} {
		got, _, _ := Choose(k.missing, units, k.limit)
		slices.Sort(got)
		slices.Sort(k.want)
		if !slices.Equal(got, k.want) {
			t.Errorf("missing %v, at most %d runs: %v, want %v", k.missing, k.limit, got, k.want)
		}
	}
}

// Guards against more than 5% of the runs stopped in a second, also if 5% is below one.
func TestLimiter(t *testing.T) {
	now := time.Unix(1000, 0)
	var l Limiter
	if n := l.Allowed(now, 100); n != 5 {
		t.Fatalf("%d of 100", n)
	}
	l.Stopped(now, 5)
	for after, want := range map[time.Duration]int{999 * time.Millisecond: 0, time.Second: 5} {
		if n := l.Allowed(now.Add(after), 100); n != want {
			t.Errorf("%d of 100 after %v, want %d", n, after, want)
		}
	}
	if n := l.Allowed(now.Add(time.Second), 10); n != 0 {
		t.Errorf("%d of 10 within 2 s", n)
	}
}

// Guards against equal jobs that count as large, and against large ones that do not.
func TestSizesByWork(t *testing.T) {
	var s Sizes
	var got []Size
	for i := range 100 {
		got = append(got, s.Classify([]float64{1, 1, 5, 1, 1, 5, 1, 1, 1, 9}[i%10]))
	}
	if slices.Contains(got[:10], Large) || got[99] != Largest || got[95] != Large || got[98] != Usual {
		t.Fatal(got)
	}
}
