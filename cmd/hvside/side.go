package main

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log"
	"github.com/google/uuid"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvwire"
)

const (
	beatInterval   = time.Second
	redialInterval = 500 * time.Millisecond
	callTimeout    = 2 * time.Second
	maxAnswerBytes = 1 << 20
)

type side struct {
	conf        config
	clock       hv.Clock
	logger      log.Logger
	incarnation string
	http        *http.Client
	slots       chan struct{}
	admitted    atomic.Int64
	sequence    atomic.Uint64
	leaving     atomic.Bool
}

func newSide(conf config, clock hv.Clock, logger log.Logger) *side {
	return &side{
		conf: conf, clock: clock, logger: logger,
		incarnation: uuid.NewString(),
		http:        &http.Client{},
		slots:       make(chan struct{}, conf.Slots),
	}
}

// run serves until ctx ends, then drains.
func (s *side) run(ctx context.Context) error {
	serving, stop := context.WithCancel(context.Background())
	defer stop()
	var wg sync.WaitGroup
	for _, gate := range s.conf.Gates {
		wg.Go(func() { s.keepConnected(serving, gate) })
	}
	<-ctx.Done()
	s.leaving.Store(true)
	for s.admitted.Load() > 0 {
		time.Sleep(10 * time.Millisecond)
	}
	stop()
	wg.Wait()
	return nil
}

func (s *side) keepConnected(ctx context.Context, gate string) {
	mux := hvwire.Mux{}
	hvwire.Handle(mux, hvwire.MethodRun, s.serveRun)
	for ctx.Err() == nil {
		if err := s.connect(ctx, gate, mux); err != nil {
			_ = s.logger.Log("msg", "connection to gate ended", "gate", gate, "err", err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(redialInterval):
		}
	}
}

func (s *side) connect(ctx context.Context, gate string, mux hvwire.Mux) error {
	c, err := hvwire.Dial(ctx, gate, mux)
	if err != nil {
		return err
	}
	defer c.Close()
	if err := s.announce(ctx, c); err != nil {
		return err
	}
	tick := time.NewTicker(beatInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-c.Done():
			return nil
		case <-tick.C:
		}
		if err := s.beat(ctx, c); err != nil {
			return err
		}
	}
}

func (s *side) announce(ctx context.Context, c *hvwire.Conn) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := hvwire.Call[hvwire.AnnounceAck](ctx, c, hvwire.MethodAnnounce, hvwire.Announce{
		Host: s.conf.Host, Incarnation: s.incarnation, Service: s.conf.Service,
		Slots: s.conf.Slots, Connections: s.conf.Connections, Leaving: s.leaving.Load(),
	})
	return err
}

func (s *side) beat(ctx context.Context, c *hvwire.Conn) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	running := len(s.slots)
	_, err := hvwire.Call[hvwire.BeatAck](ctx, c, hvwire.MethodBeat, hvwire.Beat{
		Incarnation: s.incarnation, Sequence: s.sequence.Add(1),
		Running: running, Waiting: int(s.admitted.Load()) - running, Leaving: s.leaving.Load(),
	})
	return err
}

// serveRun decides in one step whether a request runs: after the slot is
// taken it does, before that it never will.
func (s *side) serveRun(ctx context.Context, _ *hvwire.Conn, req hv.Request) (hv.Answer, error) {
	if s.leaving.Load() {
		return notRun(req.ID, "upstream is draining"), nil
	}
	if s.admitted.Add(1) > int64(s.conf.Connections) {
		s.admitted.Add(-1)
		return notRun(req.ID, "all connections are in use"), nil
	}
	defer s.admitted.Add(-1)
	ctx, cancel := context.WithTimeout(ctx, req.Left.Std())
	defer cancel()
	select {
	case s.slots <- struct{}{}:
	case <-ctx.Done():
		return notRun(req.ID, "deadline passed in the queue"), nil
	}
	defer func() { <-s.slots }()
	return s.forward(ctx, req), nil
}

func (s *side) forward(ctx context.Context, req hv.Request) hv.Answer {
	r, err := http.NewRequestWithContext(ctx, req.Method, s.conf.Upstream+req.Path, bytes.NewReader(req.Body))
	if err != nil {
		return notRun(req.ID, err.Error())
	}
	r.Header.Set("Hv-Request", req.ID)
	if req.Key != "" {
		r.Header.Set("Idempotency-Key", req.Key)
	}
	if req.Type != "" {
		r.Header.Set("Content-Type", req.Type)
	}
	res, err := s.http.Do(r)
	if err != nil {
		return hv.Answer{ID: req.ID, Outcome: hv.Unknown, Reason: err.Error()}
	}
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes+1))
	switch {
	case err != nil:
		return hv.Answer{ID: req.ID, Outcome: hv.Unknown, Reason: "answer was cut: " + err.Error()}
	case len(body) > maxAnswerBytes:
		return hv.Answer{ID: req.ID, Outcome: hv.Unknown, Reason: "answer is over the size limit"}
	}
	return hv.Answer{
		ID: req.ID, Outcome: hv.Done, Status: res.StatusCode, Type: res.Header.Get("Content-Type"),
		Body: body, Length: len(body), Sum: xxhash.Sum64(body),
	}
}

func notRun(id, reason string) hv.Answer {
	return hv.Answer{ID: id, Outcome: hv.NotRun, Reason: reason, Retry: hv.Duration(time.Second)}
}
