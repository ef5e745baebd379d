package hvledger_test

import (
	"context"
	"testing"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/platform"
)

// rejectingStore fails the first appends with the given kinds of errors and
// passes later ones on.
type rejectingStore struct {
	hv.KeyedStore
	kinds []hv.ErrorKind
	sent  [][]hv.KeyedRecord
}

func (s *rejectingStore) Append(ctx context.Context, topic string, recs []hv.KeyedRecord, f hv.Fence) (int64, error) {
	s.sent = append(s.sent, recs)
	if len(s.kinds) > 0 {
		kind := s.kinds[0]
		s.kinds = s.kinds[1:]
		return 0, storeError{kind}
	}
	return s.KeyedStore.Append(ctx, topic, recs, f)
}

// Guards against callers that keep waiting after the store has refused an append,
// and against reporting a record as not stored after an append without a
// response.
func TestOptionalRecordsAreOmittedOnlyAfterFirstRefusal(t *testing.T) {
	for _, c := range []struct {
		name    string
		kinds   []hv.ErrorKind
		own     int
		omitted bool
		stored  int
	}{
		{"stored", nil, 1, false, 1},
		{"refused", []hv.ErrorKind{hv.Unavailable}, 1, true, 0},
		{"refused without own records", []hv.ErrorKind{hv.Unavailable}, 0, true, 0},
		{"no response", []hv.ErrorKind{hv.Uncertain}, 1, false, 1},
		{"refused after no response", []hv.ErrorKind{hv.Uncertain, hv.Unavailable}, 1, false, 1},
	} {
		s, addr := serve(t)
		store := &rejectingStore{KeyedStore: platform.NewStore(addr)}
		g := newGate(store, "gate")
		g.sync(t)
		w := g.elector.Wait(t.Context())
		store.kinds = c.kinds
		own := []hv.KeyedRecord{jobRecord(t, 1)}[:c.own]
		omitted, err := w.AppendWithOptional(t.Context(), own, []hv.KeyedRecord{jobRecord(t, 2)})
		if err != nil {
			t.Fatalf("%s: %v", c.name, err)
		}
		if (omitted != nil) != c.omitted {
			t.Errorf("%s: omitted is %v, want %v", c.name, omitted, c.omitted)
		}
		if n := s.Count(topic, jobRecord(t, 2).Key); n != c.stored {
			t.Errorf("%s: the optional record is stored %d times, want %d", c.name, n, c.stored)
		}
		if n := s.Count(topic, jobRecord(t, 1).Key); n != c.own {
			t.Errorf("%s: the own record is stored %d times, want %d", c.name, n, c.own)
		}
		if err := w.Append(t.Context(), []hv.KeyedRecord{jobRecord(t, 3)}); err != nil {
			t.Errorf("%s: the next append: %v", c.name, err)
		}
	}
}

// lossyStore carries out appends but loses the next responses.
type lossyStore struct {
	hv.KeyedStore
	losses int
}

func (s *lossyStore) Append(ctx context.Context, topic string, recs []hv.KeyedRecord, f hv.Fence) (int64, error) {
	end, err := s.KeyedStore.Append(ctx, topic, recs, f)
	if s.losses > 0 {
		s.losses--
		return 0, storeError{hv.Uncertain}
	}
	return end, err
}

// Guards against an owner that counts its authority from a repeat of an append that was
// already stored: a new owner counts it from the record and starts tasks while leases of
// the earlier one last.
func TestRepeatedAppendDoesNotExtendAuthority(t *testing.T) {
	_, addr := serve(t)
	store := &lossyStore{KeyedStore: platform.NewStore(addr)}
	owner := newGate(store, "owner")
	owner.sync(t)
	w := owner.elector.Wait(t.Context())
	// The responses are lost for about 0.3 s.
	store.losses = 6
	if err := w.Heartbeat(t.Context()); err != nil {
		t.Fatal(err)
	}
	if silence := w.SinceLastAppend(); silence < 250*time.Millisecond {
		t.Errorf("authority counts from %v ago, after the record was stored", silence)
	}
	next := time.Now()
	if err := w.Heartbeat(t.Context()); err != nil {
		t.Fatal(err)
	}
	if silence := w.SinceLastAppend(); silence > time.Since(next) {
		t.Errorf("authority counts from %v ago, before the next append", silence)
	}
}
