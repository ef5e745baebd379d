package main

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log"
	"github.com/google/uuid"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvwire"
)

const (
	defaultDeadline = 5 * time.Second
	drainTimeout    = 30 * time.Second
	maxBodyBytes    = 1 << 20
)

type upstream struct {
	announce hvwire.Announce
	conn     *hvwire.Conn
}

type gate struct {
	conf   config
	logger log.Logger

	mu    sync.Mutex
	sides map[string]upstream
}

func newGate(conf config, logger log.Logger) *gate {
	return &gate{conf: conf, logger: logger, sides: map[string]upstream{}}
}

func (g *gate) run(ctx context.Context) error {
	internal, err := net.Listen("tcp", g.conf.Internal)
	if err != nil {
		return err
	}
	defer internal.Close()
	go g.accept(internal)

	mux := http.NewServeMux()
	mux.HandleFunc("/v1/run/{service}/{path...}", g.serveRun)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	server := &http.Server{Addr: g.conf.Listen, Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	failed := make(chan error, 1)
	go func() { failed <- server.ListenAndServe() }()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	drain, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	return server.Shutdown(drain)
}

func (g *gate) accept(l net.Listener) {
	mux := hvwire.Mux{}
	hvwire.Handle(mux, hvwire.MethodAnnounce, g.serveAnnounce)
	hvwire.Handle(mux, hvwire.MethodBeat, g.serveBeat)
	for {
		nc, err := l.Accept()
		if err != nil {
			return
		}
		hvwire.NewConn(nc, mux)
	}
}

func (g *gate) serveAnnounce(_ context.Context, c *hvwire.Conn, a hvwire.Announce) (hvwire.AnnounceAck, error) {
	g.mu.Lock()
	g.sides[a.Host.Name] = upstream{announce: a, conn: c}
	g.mu.Unlock()
	go func() {
		<-c.Done()
		g.forget(a.Host.Name, c)
	}()
	_ = g.logger.Log("msg", "side announced", "host", a.Host.Name, "service", a.Service)
	return hvwire.AnnounceAck{Gate: g.conf.Name}, nil
}

func (g *gate) forget(host string, c *hvwire.Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.sides[host].conn == c {
		delete(g.sides, host)
	}
}

func (g *gate) serveBeat(context.Context, *hvwire.Conn, hvwire.Beat) (hvwire.BeatAck, error) {
	return hvwire.BeatAck{}, nil
}

func (g *gate) pick(service string) (*hvwire.Conn, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	var conns []*hvwire.Conn
	for _, u := range g.sides {
		if u.announce.Service == service {
			conns = append(conns, u.conn)
		}
	}
	if len(conns) == 0 {
		return nil, false
	}
	return conns[rand.IntN(len(conns))], true
}

func (g *gate) serveRun(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, "body: "+err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	req := hv.Request{
		ID: uuid.NewString(), Class: hv.Urgent, Service: r.PathValue("service"), Method: r.Method,
		Path: "/" + r.PathValue("path"), Type: r.Header.Get("Content-Type"), Body: body,
		Key: r.Header.Get("Idempotency-Key"), Left: hv.Duration(defaultDeadline), Attempt: 1,
	}
	conn, ok := g.pick(req.Service)
	if !ok {
		writeAnswer(w, hv.Answer{ID: req.ID, Outcome: hv.NotRun, Reason: "no upstream of service " + req.Service})
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), defaultDeadline)
	defer cancel()
	ans, err := hvwire.Call[hv.Answer](ctx, conn, hvwire.MethodRun, req)
	if err != nil {
		ans = hv.Answer{ID: req.ID, Outcome: hv.Unknown, Reason: err.Error()}
	}
	writeAnswer(w, ans)
}

func writeAnswer(w http.ResponseWriter, ans hv.Answer) {
	whole := len(ans.Body) == ans.Length && (ans.Length == 0 || xxhash.Sum64(ans.Body) == ans.Sum)
	if ans.Outcome == hv.Done && !whole {
		ans = hv.Answer{ID: ans.ID, Outcome: hv.Unknown, Reason: "answer is not whole"}
	}
	w.Header().Set("Hv-Request", ans.ID)
	w.Header().Set("Hv-Outcome", string(ans.Outcome))
	switch ans.Outcome {
	case hv.Done:
		w.Header().Set("Content-Type", ans.Type)
		w.Header().Set("Content-Length", strconv.Itoa(ans.Length))
		w.WriteHeader(ans.Status)
		_, _ = w.Write(ans.Body)
	case hv.NotRun:
		w.Header().Set("Retry-After", "1")
		http.Error(w, ans.Reason, http.StatusServiceUnavailable)
	case hv.Unknown:
		http.Error(w, ans.Reason, http.StatusGatewayTimeout)
	}
}
