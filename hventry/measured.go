package hventry

import (
	"context"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvledger"
)

// measuredStore reports the response times of a store to the admission control.
type measuredStore struct {
	hv.KeyedStore
	admission *admission
}

// Append implements hibiscusvane.KeyedStore.
func (s *measuredStore) Append(ctx context.Context, topic string, recs []hv.KeyedRecord, f hv.Fence) (int64, error) {
	began := s.admission.appendBegins()
	end, err := s.KeyedStore.Append(ctx, topic, recs, f)
	s.admission.appendEnds(began, responded(err))
	return end, err
}

// Read implements hibiscusvane.KeyedStore.
func (s *measuredStore) Read(ctx context.Context, topic string, from int64, wait time.Duration) (hv.KeyedPage, error) {
	began := s.admission.readBegins()
	page, err := s.KeyedStore.Read(hv.WithProgress(ctx, s.admission.dataArrived), topic, from, wait)
	if responded(err) {
		s.admission.dataArrived()
	}
	s.admission.readEnds(began, wait, responded(err))
	return page, err
}

// Newest implements hibiscusvane.KeyedStore.
func (s *measuredStore) Newest(ctx context.Context, topic string) (hv.KeyedPage, error) {
	page, err := s.KeyedStore.Newest(hv.WithProgress(ctx, s.admission.dataArrived), topic)
	if responded(err) {
		s.admission.dataArrived()
	}
	return page, err
}

// responded reports whether the store carried out or rejected a call. A store that
// turns calls away does not count as responding.
func responded(err error) bool {
	return err == nil || hv.KindOf(err) != hv.Unavailable && hv.KindOf(err) != hv.Uncertain
}

// measuredPeers measures the calls that other gates make for this one.
type measuredPeers struct {
	peers     *peers
	admission *admission
}

// Stores implements hvledger.Peers.
func (p measuredPeers) Stores() []hv.KeyedStore {
	stores := p.peers.Stores()
	for i, s := range stores {
		stores[i] = &measuredStore{KeyedStore: s, admission: p.admission}
	}
	return stores
}

var _ hvledger.Peers = measuredPeers{}
