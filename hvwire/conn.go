// Package hvwire holds the messages between gates and sides and carries them
// by JSON-RPC 2.0 over TCP.
package hvwire

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"

	hv "hibiscusvane.example/hibiscusvane"
)

// maxFrameBytes bounds one message. It covers the largest answer body (1 MiB)
// in base64 with its envelope.
const maxFrameBytes = 4 << 20

// Error is the error type of the package.
type Error struct {
	Op   string
	Kind hv.ErrorKind
	Err  error
	// NotSent is true if nothing was sent. Only the local end sets it; an error
	// of the other end can have any kind but never this mark.
	NotSent bool
}

func (e *Error) Error() string { return fmt.Sprintf("wire %s: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// ErrorKind returns the kind of the error.
func (e *Error) ErrorKind() hv.ErrorKind { return e.Kind }

// NotSent reports whether a call failed before anything was sent, so that the
// other end can't have received it.
func NotSent(err error) bool {
	var e *Error
	return errors.As(err, &e) && e.NotSent
}

// Handler answers one method.
type Handler func(ctx context.Context, c *Conn, params json.RawMessage) (any, error)

// Mux maps methods to handlers. It must not change after the first use.
type Mux map[string]Handler

// Handle adds a typed handler to a mux.
func Handle[Req, Ans any](m Mux, method string, f func(ctx context.Context, c *Conn, req Req) (Ans, error)) {
	m[method] = func(ctx context.Context, c *Conn, params json.RawMessage) (any, error) {
		var req Req
		if err := json.Unmarshal(params, &req); err != nil {
			return nil, &Error{Op: method, Kind: hv.Invalid, Err: errors.Wrap(err, "decode")}
		}
		return f(ctx, c, req)
	}
}

// Conn is one connection between two processes of the system. Both ends can
// call.
type Conn struct {
	rpc    *jsonrpc2.Conn
	remote string
	active atomic.Int64
	calls  *calls
}

// NewConn starts to serve mux on a network connection.
func NewConn(nc net.Conn, mux Mux) *Conn {
	c := &Conn{remote: nc.RemoteAddr().String(), calls: newCalls()}
	ready := make(chan struct{})
	handle := func(ctx context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) (any, error) {
		<-ready
		return c.dispatch(ctx, mux, req)
	}
	stream := jsonrpc2.NewBufferedStream(&limitedConn{Conn: nc}, frameCodec{})
	next := jsonrpc2.HandlerWithError(handle).SuppressErrClosed()
	c.rpc = jsonrpc2.NewConn(context.Background(), stream, &asyncHandler{conn: c, next: next}, jsonrpc2.OnRecv(c.calls.received), jsonrpc2.SetLogger(quiet{}))
	close(ready)
	go c.watch()
	return c
}

// asyncHandler answers each request in its own goroutine and counts those
// whose answers have not been written yet.
type asyncHandler struct {
	conn *Conn
	next jsonrpc2.Handler
}

// Handle implements jsonrpc2.Handler.
func (h *asyncHandler) Handle(ctx context.Context, rpc *jsonrpc2.Conn, req *jsonrpc2.Request) {
	h.conn.active.Add(1)
	go func() {
		defer h.conn.active.Add(-1)
		h.next.Handle(ctx, rpc, req)
	}()
}

// Active returns the number of requests of the other end whose answers have
// not been written yet. A process that stops closes the connection at 0.
func (c *Conn) Active() int { return int(c.active.Load()) }

func (c *Conn) dispatch(ctx context.Context, mux Mux, req *jsonrpc2.Request) (any, error) {
	h, ok := mux[req.Method]
	if !ok {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "method " + req.Method + " does not exist"}
	}
	var params json.RawMessage
	if req.Params != nil {
		params = *req.Params
	}
	ans, err := h(ctx, c, params)
	if err != nil {
		return nil, encodeError(err)
	}
	return ans, nil
}

// Dial connects to addr and serves mux on the connection.
func Dial(ctx context.Context, addr string, mux Mux) (*Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	nc, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, &Error{Op: "dial", Kind: hv.Unavailable, Err: err, NotSent: true}
	}
	return NewConn(nc, mux), nil
}

const dialTimeout = 2 * time.Second

// Call sends a request and decodes its answer. Whether the request may have
// been received is told by NotSent and not by the kind of the error, which the
// other end may have chosen.
func Call[Ans any](ctx context.Context, c *Conn, method string, req any) (Ans, error) {
	var ans Ans
	err := c.Call(ctx, method, req, &ans)
	return ans, err
}

// Call sends a request and decodes its answer into ans. Errors are those of
// the function Call.
func (c *Conn) Call(ctx context.Context, method string, req, ans any) error {
	params, err := json.Marshal(req)
	if err != nil {
		return &Error{Op: method, Kind: hv.Invalid, Err: errors.Wrap(err, "encode"), NotSent: true}
	}
	if err := c.ready(ctx, method); err != nil {
		return err
	}
	id, err := c.calls.begin(method, len(params))
	if err != nil {
		return err
	}
	sent, err := c.rpc.DispatchCall(ctx, method, json.RawMessage(params), jsonrpc2.PickID(jsonrpc2.ID{Num: id}))
	if err != nil {
		c.calls.end(id)
		return decodeError(method, err)
	}
	// The call stays counted when ctx ends, because the library keeps it.
	if err := sent.Wait(ctx, ans); err != nil {
		return decodeError(method, err)
	}
	return nil
}

// ready returns an error if there is no point in sending.
func (c *Conn) ready(ctx context.Context, method string) error {
	if err := ctx.Err(); err != nil {
		return &Error{Op: method, Kind: hv.Expired, Err: err, NotSent: true}
	}
	select {
	case <-c.Done():
		return &Error{Op: method, Kind: hv.Unavailable, Err: jsonrpc2.ErrClosed, NotSent: true}
	default:
		return nil
	}
}

// RemoteAddr returns the address of the other end.
func (c *Conn) RemoteAddr() string { return c.remote }

// Done is closed when the connection has ended.
func (c *Conn) Done() <-chan struct{} { return c.rpc.DisconnectNotify() }

// Close ends the connection.
func (c *Conn) Close() error { return c.rpc.Close() }

type errorData struct {
	Kind hv.ErrorKind `json:"kind"`
}

const codeApplication = -32000

func encodeError(err error) *jsonrpc2.Error {
	e := &jsonrpc2.Error{Code: codeApplication, Message: err.Error()}
	e.SetError(errorData{Kind: hv.KindOf(err)})
	return e
}

func decodeError(method string, err error) error {
	var remote *jsonrpc2.Error
	var long *lengthError
	switch {
	case errors.As(err, &long):
		return &Error{Op: method, Kind: hv.Invalid, Err: err, NotSent: true}
	case errors.Is(err, jsonrpc2.ErrClosed):
		// The library also returns ErrClosed when the connection ends while
		// the answer is outstanding, so the request may have been received.
		return &Error{Op: method, Kind: hv.Uncertain, Err: err}
	case errors.As(err, &remote):
		data := errorData{Kind: hv.Internal}
		if remote.Data != nil {
			if json.Unmarshal(*remote.Data, &data) != nil {
				data.Kind = hv.Internal
			}
		}
		return &Error{Op: method, Kind: data.Kind, Err: errors.New(remote.Message)}
	}
	return &Error{Op: method, Kind: hv.Uncertain, Err: err}
}

// quiet drops the lines that the library writes when a connection ends: both
// ends log that themselves, with what it meant to them.
type quiet struct{}

// Printf implements jsonrpc2.Logger.
func (quiet) Printf(string, ...any) {}
