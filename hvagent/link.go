package hvagent

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvwire"
)

const (
	// redialInterval is the pause before a gate is dialed again after the
	// connection ended. It is below the one second for which a gate that settles
	// a request waits for a new connection.
	redialInterval = 500 * time.Millisecond
	// maxSentHeartbeats bounds the heartbeats whose send times are kept. At one
	// heartbeat per second they reach back much further than a lease lasts.
	maxSentHeartbeats = 64
	// maxUnanswered is the number of consecutive heartbeats without a response
	// after which the connection is closed and dialed again.
	maxUnanswered = 2
)

// link maintains the connection to one gate.
type link struct {
	agent  *Agent
	gate   string
	logger log.Logger
	stop   context.CancelFunc

	mu   sync.Mutex
	conn *hvwire.Conn
	// announcedAt is when the first announcement on the connection was sent.
	announcedAt time.Time
	sent        map[uint64]time.Time
	sentOrder   []uint64
	// lists are the lists that the gate has; only the goroutine of the link uses
	// them.
	lists hvwire.ListCache
}

func newLink(a *Agent, gate string, stop context.CancelFunc) *link {
	return &link{
		agent: a, gate: gate, stop: stop, sent: map[uint64]time.Time{},
		logger: log.With(a.logs.Component("gate"), "gate", gate),
	}
}

func (l *link) run(ctx context.Context) {
	for ctx.Err() == nil {
		err := l.connect(ctx)
		if ctx.Err() == nil {
			logWarn(l.logger, "msg", "connection to gate ended", "err", err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(redialInterval):
		}
	}
}

// connect dials the gate and sends heartbeats until the connection ends.
func (l *link) connect(ctx context.Context) error {
	c, err := hvwire.Dial(ctx, l.gate, l.mux())
	if err != nil {
		return err
	}
	defer l.disconnect(c)
	announced := l.agent.announcementVersion.Load()
	if err := l.announce(ctx, c, true); err != nil {
		return err
	}
	l.setConn(c)
	if l.agent.reporter != nil {
		l.agent.reporter.resendAll()
	}
	for unanswered := 0; unanswered < maxUnanswered; {
		if now := l.agent.announcementVersion.Load(); now != announced {
			announced = now
			if err := l.announce(ctx, c, false); err != nil {
				return err
			}
		}
		switch err = l.sendHeartbeat(ctx, c); {
		case err == nil:
			unanswered = 0
		case hv.KindOf(err) == hv.NotFound:
			if err := l.announce(ctx, c, false); err != nil {
				return err
			}
		case hv.KindOf(err) == hv.Uncertain:
			unanswered++
		default:
			logWarn(l.logger, "msg", "gate refused heartbeat", "err", err)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-c.Done():
			return err
		case <-time.After(l.agent.heartbeatInterval()):
		}
	}
	return err
}

func (l *link) disconnect(c *hvwire.Conn) {
	l.setConn(nil)
	// The connection has ended or is abandoned, so an error doesn't matter.
	_ = c.Close()
}

func (l *link) setConn(c *hvwire.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conn = c
}

func (l *link) current() *hvwire.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conn
}

// recordSent stores the send time of a heartbeat.
func (l *link) recordSent(sequence uint64, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent[sequence] = at
	l.sentOrder = append(l.sentOrder, sequence)
	if len(l.sentOrder) > maxSentHeartbeats {
		delete(l.sent, l.sentOrder[0])
		l.sentOrder = l.sentOrder[1:]
	}
}

// sentAt returns the send time of a heartbeat, or of the announcement for
// sequence 0.
func (l *link) sentAt(sequence uint64) (time.Time, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if sequence == 0 {
		return l.announcedAt, !l.announcedAt.IsZero()
	}
	at, ok := l.sent[sequence]
	return at, ok
}

// mux returns the handlers of the methods that gates call on this connection.
func (l *link) mux() hvwire.Mux {
	m := hvwire.Mux{}
	a := l.agent
	hvwire.Handle(m, hvwire.MethodDrain, a.serveDrain)
	if a.service != nil {
		hvwire.Handle(m, hvwire.MethodRun, a.service.serveRun)
		hvwire.Handle(m, hvwire.MethodSettle, a.service.serveSettle)
		hvwire.Handle(m, hvwire.MethodHandover, a.service.serveHandover)
	}
	if a.tasks != nil {
		hvwire.Handle(m, hvwire.MethodStart, func(_ context.Context, _ *hvwire.Conn, s hvwire.Start) (hvwire.Ack, error) {
			return a.tasks.serveStart(l, s)
		})
		hvwire.Handle(m, hvwire.MethodStop, a.tasks.serveStop)
		hvwire.Handle(m, hvwire.MethodThrottle, a.tasks.serveThrottle)
	}
	return m
}
