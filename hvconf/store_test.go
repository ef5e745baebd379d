package hvconf_test

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"testing"
	"testing/synctest"
	"time"

	kitlog "github.com/go-kit/log"
	"pgregory.net/rapid"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvconf"
	"hibiscusvane.example/hibiscusvane/hvlog"
	"hibiscusvane.example/hibiscusvane/hvlog/hvlogtest"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "11", "rapid.checks": "50", "rapid.nofailfile": "true"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

func publishRecord(offset hv.Offset, p hvconf.Publication) hv.Record {
	body, _ := json.Marshal(p)
	return hv.Record{Offset: offset, Kind: hvconf.KindPublish, Body: body}
}

// Guards against readers that disagree about a publication, a version that
// decreases, and accepting a publication with a stale base, without gates or with
// more than one changed gate.
func TestReadersAgreeOnPublications(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		violations := func(n int, message string) { t.Fatalf("invariant %d: %s", n, message) }
		stores := []*hvconf.Store{hvconf.NewStore(violations)}
		var current, next hv.Offset = 0, 1
		gates := 1
		t.Repeat(map[string]func(*rapid.T){
			"publish": func(t *rapid.T) {
				base := current
				if rapid.Bool().Draw(t, "stale") {
					base = hv.Offset(rapid.IntRange(0, int(next)).Draw(t, "base"))
				}
				want := rapid.IntRange(0, 6).Draw(t, "gates")
				p := hvconf.Publication{Base: base, Author: "a", Files: hvconf.Files{"a.json": gateFile(want)}}
				for _, b := range stores {
					b.Apply(publishRecord(next, p))
				}
				step := want - gates
				if base == current && want > 0 && (current == 0 || step >= -1 && step <= 1) {
					current, gates = next, want
				}
				next++
			},
			"join": func(t *rapid.T) {
				if len(stores) > 4 {
					return
				}
				body, err := stores[0].Snapshot()
				b := hvconf.NewStore(violations)
				if err != nil || b.Restore(body, next) != nil {
					t.Fatal("restore from snapshot failed", err)
				}
				stores = append(stores, b)
			},
			"adopt": func(t *rapid.T) {
				body, _ := stores[len(stores)-1].Snapshot()
				if err := stores[0].Adopt(body); err != nil {
					t.Fatal(err)
				}
			},
			"": func(t *rapid.T) {
				for i, b := range stores {
					a, _ := stores[0].Snapshot()
					c, _ := b.Snapshot()
					v := b.Current()
					if v.Number != current || current > 0 && len(v.Settings.Gates) != gates || string(a) != string(c) {
						t.Fatalf("store %d has version %d with %d gates, want %d with %d", i, v.Number, len(v.Settings.Gates), current, gates)
					}
				}
			},
		})
	})
}

// gateFile returns a settings file with n gates.
func gateFile(n int) json.RawMessage {
	all := map[string]hvconf.Gate{}
	for i := range n {
		all[fmt.Sprintf("g%d", i)] = hvconf.Gate{Zone: "a", Address: fmt.Sprintf("10.0.0.%d:7000", i+1)}
	}
	body, _ := json.Marshal(map[string]any{"zones": map[string]any{"a": map[string]string{"region": "r"}}, "gates": all})
	return body
}

// Guards against accepting both of two concurrent publications, and against a
// refused publisher that is not told the winning version. Appends are delayed and
// their responses may be lost.
func TestConcurrentPublishersHaveOneWinner(t *testing.T) {
	for seed := uint64(1); seed <= 5; seed++ {
		synctest.Test(t, func(t *testing.T) {
			log := hvlogtest.New(hv.SystemClock{}, seed)
			log.SetFaults(hvlogtest.Faults{LoseBeforeWrite: 0.2, LoseAfterWrite: 0.2, Delay: 50 * time.Millisecond})
			type result struct {
				version hv.Offset
				err     error
			}
			results := make(chan result, 2)
			for i := range 2 {
				store, appendRecord := startReader(t, log, fmt.Sprintf("gate-%d", i))
				go func() {
					v, err := hvconf.Publish(t.Context(), store, appendRecord, hvconf.Publication{Author: fmt.Sprint(i), Files: baseFiles()})
					results <- result{v, err}
				}()
			}
			a, b := <-results, <-results
			if a.err != nil {
				a, b = b, a
			}
			var e *hvconf.Error
			if a.err != nil || hv.KindOf(b.err) != hv.Conflict {
				t.Fatalf("seed %d: got %+v and %+v, want one winner and one conflict", seed, a, b)
			}
			if e, _ = b.err.(*hvconf.Error); e.Version != a.version {
				t.Errorf("seed %d: the refused publisher was told version %d, want %d", seed, e.Version, a.version)
			}
		})
	}
}

// startReader starts a follower and a writer of the stream.
func startReader(t *testing.T, log hv.Log, name string) (*hvconf.Store, hvconf.Appender) {
	store := hvconf.NewStore(func(n int, message string) { t.Errorf("invariant %d: %s", n, message) })
	jitter := func() float64 { return 0.5 }
	f := hvlog.NewFollower(hvlog.FollowerConfig{
		Stream: hvconf.Stream, Log: log, Clock: hv.SystemClock{}, Applier: store, Jitter: jitter, Logger: kitlog.NewNopLogger(),
	})
	w := hvlog.NewWriter(hvlog.WriterConfig{
		Name: name, Stream: hvconf.Stream, Log: log, Clock: hv.SystemClock{}, Follower: f, Jitter: jitter, Logger: kitlog.NewNopLogger(),
	})
	go f.Run(t.Context())
	go w.Run(t.Context())
	return store, func(ctx context.Context, kind string, body json.RawMessage) (hv.Offset, error) {
		r, err := w.Append(ctx, hvlog.Op{Kind: kind, Body: body, NoMerge: true})
		return r.Offset, err
	}
}

// Guards against returning to an older version because a peer or a snapshot is
// behind.
func TestVersionNeverReverts(t *testing.T) {
	var violated []int
	b := hvconf.NewStore(func(n int, _ string) { violated = append(violated, n) })
	b.Apply(publishRecord(1, hvconf.Publication{Files: baseFiles()}))
	old, err := b.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	b.Apply(publishRecord(2, hvconf.Publication{Base: 1, Files: baseFiles()}))
	if err := b.Adopt(old); err != nil || b.Current().Number != 2 || len(violated) > 0 {
		t.Errorf("version %d, %v, violations %v after adopting an older snapshot of a peer", b.Current().Number, err, violated)
	}
	if err := b.Restore(old, 2); err != nil || b.Current().Number != 2 || len(violated) != 1 || violated[0] != 9 {
		t.Errorf("version %d, %v, violations %v after an older snapshot", b.Current().Number, err, violated)
	}
}
