package hvowner_test

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvjob"
	"hibiscusvane.example/hibiscusvane/hvledger"
	"hibiscusvane.example/hibiscusvane/hvorder"
	"hibiscusvane.example/hibiscusvane/hvowner"
	"hibiscusvane.example/hibiscusvane/hvwire"
	"hibiscusvane.example/hibiscusvane/hvwire/hvwiretest"
	"hibiscusvane.example/hibiscusvane/platform"
	"hibiscusvane.example/hibiscusvane/platform/platformtest"
)

// newRunningOwner returns an owner of the cell in a store, which runs until the test ends, and
// a channel that is closed once it has given up the cell.
func newRunningOwner(t *testing.T, store *platformtest.Store) (*hvowner.Owner, <-chan struct{}) {
	t.Helper()
	o := newOwnerIn(t, store)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		o.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	for o.Put(ctx, hv.KeyedRecord{Key: "job/first", Value: []byte("{}")}) != nil {
		time.Sleep(time.Millisecond)
	}
	return o, ended
}

// jobWithProgress returns a job whose progress takes about the given number of bytes, as its
// tasks have long saved states.
func jobWithProgress(id, bytes int) hvledger.Entry {
	const perTask = 100
	j := hvjob.Job{ID: fmt.Sprintf("%016x", id), Queue: "q", Steps: []hvjob.Step{{Count: bytes / perTask, Need: hvjob.Resources{CPU: 1}, Checkpoint: true}}, QueueSettings: hvjob.Queue{Name: "q", Service: "desk", MaxAttempts: 3}}
	round := hvjob.NewRoundProgress(j)
	round.Steps[0].SavedStates = map[int]string{}
	for i := range j.Steps[0].Count {
		round.Steps[0].SavedStates[i] = strings.Repeat("s", perTask-10)
	}
	return hvledger.Entry{Job: j, Offset: 1, Progress: hvjob.Progress{State: hvjob.Queued, Rounds: map[int]hvjob.RoundProgress{0: round}}}
}

// attachRunning connects a node that runs the first task of each job, which changes the
// progress of all of them at once.
func attachRunning(t *testing.T, o *hvowner.Owner, jobs []hvledger.Entry) {
	t.Helper()
	r := hvorder.Report{Incarnation: "1", Clock: 1000, Full: true, Host: &hvorder.Host{Incarnation: "1", Service: "desk", Capacity: hvjob.Resources{CPU: 8000}}}
	for _, e := range jobs {
		r.Running = append(r.Running, hv.RunState{Task: e.Job.ID + ".0.0.0", Run: 1})
	}
	mux := hvwire.Mux{}
	hvwire.Handle(mux, hvorder.MethodAttach, func(context.Context, *hvwire.Conn, hvorder.Attach) (hvorder.Report, error) { return r, nil })
	o.NodeChanged(hvledger.Node{Name: "side", Addr: hvwiretest.Serve(t, mux)}, false)
}

func waitStored(t *testing.T, store *platformtest.Store, jobs []hvledger.Entry) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		missing := 0
		for _, e := range jobs {
			if store.Count(platform.CellTopic, "progress/"+e.Job.ID) == 0 {
				missing++
			}
		}
		if missing == 0 {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("progress of %d of %d jobs is not stored", missing, len(jobs))
		}
	}
}

// Guards against an owner that gives up the cell because the progress of many jobs together,
// or beside the records of callers, is over the limit of an append.
func TestProgressOverTheLimitOfAnAppendIsStored(t *testing.T) {
	store := platformtest.NewStore()
	o, ended := newRunningOwner(t, store)
	var jobs []hvledger.Entry
	for id := range 24 {
		jobs = append(jobs, jobWithProgress(id+1, 200_000))
		o.JobChanged(jobs[id])
	}
	attachRunning(t, o, jobs)
	var puts sync.WaitGroup
	for i := range 20 {
		puts.Go(func() {
			if err := o.Put(t.Context(), hv.KeyedRecord{Key: fmt.Sprint("job/", i), Value: []byte(strings.Repeat("x", 100_000))}); err != nil {
				t.Errorf("put %d: %v", i, err)
			}
		})
	}
	puts.Wait()
	waitStored(t, store, jobs)
	select {
	case <-ended:
		t.Error("the owner gave up the cell")
	default:
	}
}

// Guards against an owner that gives up the cell because the store refuses one record for
// good: only the job or the caller of that record must suffer.
func TestRefusedRecordCostsOnlyItsJob(t *testing.T) {
	store := platformtest.NewStore()
	o, ended := newRunningOwner(t, store)
	// The store accepts less than the owner knows of.
	store.SetFaults(platformtest.Faults{MaxRecordBytes: 100_000})
	jobs := []hvledger.Entry{jobWithProgress(1, 1000), jobWithProgress(2, 200_000), jobWithProgress(3, 1000)}
	for _, e := range jobs {
		o.JobChanged(e)
	}
	attachRunning(t, o, jobs)
	waitStored(t, store, jobs)
	large := hv.KeyedRecord{Key: "job/large", Value: []byte(strings.Repeat("x", 300_000))}
	if err := o.Put(t.Context(), large); hv.KindOf(err) != hv.TooLarge {
		t.Errorf("put over the limit: %v, want kind %v", err, hv.TooLarge)
	}
	if err := o.Put(t.Context(), hv.KeyedRecord{Key: "job/small", Value: []byte("{}")}); err != nil {
		t.Errorf("put after it: %v", err)
	}
	page, err := platform.NewStore(platformtest.Serve(t, store)).Newest(t.Context(), platform.CellTopic)
	if err != nil {
		t.Fatal(err)
	}
	states := map[string]hvjob.State{}
	for _, rec := range page.Records {
		if id, ok := hvledger.ProgressJob(rec); ok {
			var p hvjob.Progress
			if err := json.Unmarshal(rec.Value, &p); err != nil {
				t.Fatal(err)
			}
			states[id] = p.State
		}
	}
	for i, want := range []hvjob.State{hvjob.Running, hvjob.Failed, hvjob.Running} {
		if got := states[jobs[i].Job.ID]; got != want {
			t.Errorf("job %d is stored as %q, want %q", i+1, got, want)
		}
	}
	select {
	case <-ended:
		t.Error("the owner gave up the cell")
	default:
	}
}
