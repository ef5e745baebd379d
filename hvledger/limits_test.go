package hvledger_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/go-kit/log"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvjob"
	"hibiscusvane.example/hibiscusvane/hvledger"
)

// Guards against a record that the store refuses as too large and that ends the ownership
// of each owner in turn: that of a job with long names, or of the progress of a job with
// many saved states.
func TestRecordsFitTheStore(t *testing.T) {
	const limit = 256 << 10
	large := job(1)
	large.Steps[0].Image = strings.Repeat("i", limit)
	if _, err := (hvledger.Limits{}).JobRecord(large); hv.KindOf(err) != hv.Invalid {
		t.Errorf("error for a job over the limit is %v, want one of kind %v", err, hv.Invalid)
	}
	wide := job(2)
	wide.Steps[0].Count = 10_000
	round := hvjob.NewRoundProgress(wide)
	round.Steps[0].SavedStates = map[int]string{}
	for i := range wide.Steps[0].Count {
		round.Steps[0].SavedStates[i] = strings.Repeat("s", 32)
	}
	round.Steps[0].Done.Set(7)
	rec, err := hvledger.Limits{}.ProgressRecord(wide.ID, hvjob.Progress{State: hvjob.Running, Rounds: map[int]hvjob.RoundProgress{0: round}})
	if err != nil || len(rec.Value) > limit {
		t.Fatalf("progress takes %d bytes, %v", len(rec.Value), err)
	}
	var stored hvjob.Progress
	if err := json.Unmarshal(rec.Value, &stored); err != nil || !stored.Rounds[0].Steps[0].Done.Has(7) {
		t.Errorf("stored progress lost a done task: %v", err)
	}
	if len(round.Steps[0].SavedStates) != wide.Steps[0].Count {
		t.Error("encoding removed the saved states in memory")
	}
}

// Guards against progress over the limit of a record that ends the ownership of each owner in
// turn: that of a job of which many tasks failed, or whose hosts crashed.
func TestLargeProgressIsStoredCompressed(t *testing.T) {
	wide := job(1)
	wide.Steps[0].Count = 10_000
	for name, crashes := range map[string]bool{"failed runs": false, "crashes": true} {
		round := hvjob.NewRoundProgress(wide)
		round.Steps[0].FailedRuns, round.Steps[0].Crashes = map[int][]int{}, map[int]hvjob.CrashRecord{}
		for i := range wide.Steps[0].Count {
			round.Steps[0].FailedRuns[i] = []int{797_001 + i%7, 798_013 + i%11, 799_020}
			if crashes {
				r := hvjob.CrashRecord{Belief: 1 / float64(i+3)}
				for run := range 16 {
					r = r.WithRun(797_000+run*i%1000, run%3 > 0)
				}
				round.Steps[0].Crashes[i] = r
			}
		}
		rec, err := hvledger.Limits{}.ProgressRecord(wide.ID, hvjob.Progress{State: hvjob.Running, Rounds: map[int]hvjob.RoundProgress{0: round}})
		if err != nil || 1+len(rec.Key)+len(rec.Value) > 256<<10 {
			t.Fatalf("%s: record takes %d bytes, %v", name, len(rec.Value), err)
		}
		accepted, err := hvledger.Limits{}.JobRecord(wide)
		if err != nil {
			t.Fatal(err)
		}
		r := hvledger.NewReplica(hv.SystemClock{}, log.NewNopLogger(), &jobCounter{jobs: map[string]int{}})
		rec.Offset = 1
		r.Apply(hv.KeyedPage{Records: []hv.KeyedRecord{accepted, rec}, Next: 2})
		e, _ := r.Job(wide.ID)
		if len(e.Progress.Rounds) != 1 || len(e.Progress.Rounds[0].Steps[0].FailedRuns) != wide.Steps[0].Count {
			t.Errorf("%s: the replica lost failed runs", name)
		}
	}
}

// Guards against a job that is accepted although the store can never hold its progress, and
// against an append over the limit of a call.
func TestLimitsOfTheStoreApply(t *testing.T) {
	small := hvledger.Limits{RecordBytes: 1000, CallBytes: 4000}
	wide := job(1)
	wide.Steps[0].Count = 10_000
	if _, err := small.JobRecord(wide); hv.KindOf(err) != hv.Invalid {
		t.Errorf("error for a job whose progress is over the limit is %v, want one of kind %v", err, hv.Invalid)
	}
	if _, err := small.JobRecord(job(2)); err != nil {
		t.Errorf("small job: %v", err)
	}
	if _, err := small.LearnedRecord(strings.Repeat("ab", 10), ""); err != nil {
		t.Errorf("small learned state: %v", err)
	}
	incompressible := make([]uint32, 2000)
	for i := range incompressible {
		incompressible[i] = uint32(i * 2_654_435_761)
	}
	if rec, err := small.LearnedRecord(incompressible, "rest"); err != nil || string(rec.Value) != `"rest"` {
		t.Errorf("large learned state is stored as %.20q, want what is left without its largest part; %v", rec.Value, err)
	}
	if _, err := small.LearnedRecord(incompressible); hv.KindOf(err) != hv.Invalid {
		t.Errorf("error for learned state over the limit is %v, want one of kind %v", err, hv.Invalid)
	}
	var recs []hv.KeyedRecord
	for i := range 100 {
		recs = append(recs, hv.KeyedRecord{Key: fmt.Sprint("k/", i), Value: make([]byte, i*9)})
	}
	var joined []hv.KeyedRecord
	for _, part := range small.Split(recs) {
		size := 0
		for _, rec := range part {
			size += 5 + len(rec.Key) + len(rec.Value)
		}
		if size > 4000 || len(part) == 0 {
			t.Errorf("append of %d records takes %d bytes", len(part), size)
		}
		joined = append(joined, part...)
	}
	if len(joined) != len(recs) {
		t.Errorf("appends hold %d of %d records", len(joined), len(recs))
	}
}
