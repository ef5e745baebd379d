// Package hvwire defines the messages between gates and sides and transports them
// with JSON-RPC 2.0 over TCP.
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

// maxFrameBytes bounds one message. The largest response body (1 MiB) fits, in
// base64 and with its envelope.
const maxFrameBytes = 4 << 20

// Error is the error type of the package.
type Error struct {
	Op   string
	Kind hv.ErrorKind
	Err  error
	// NotSent is true if nothing was sent. Only the local end sets it: an error
	// returned by the peer can have any kind but never has NotSent set.
	NotSent bool
}

func (e *Error) Error() string { return fmt.Sprintf("wire %s: %v", e.Op, e.Err) }

func (e *Error) Unwrap() error { return e.Err }

func (e *Error) ErrorKind() hv.ErrorKind { return e.Kind }

// NotSent reports whether a call failed before anything was sent, so that the peer
// can't have received it.
func NotSent(err error) bool {
	var e *Error
	return errors.As(err, &e) && e.NotSent
}

// Handler serves one method.
type Handler func(ctx context.Context, c *Conn, params json.RawMessage) (any, error)

// Mux maps methods to handlers. It must not be changed after its first use.
type Mux map[string]Handler

// Handle registers a typed handler for a method.
func Handle[Req, Resp any](m Mux, method string, f func(ctx context.Context, c *Conn, req Req) (Resp, error)) {
	m[method] = func(ctx context.Context, c *Conn, params json.RawMessage) (any, error) {
		var req Req
		if err := json.Unmarshal(params, &req); err != nil {
			return nil, &Error{Op: method, Kind: hv.Invalid, Err: errors.Wrap(err, "decode")}
		}
		return f(ctx, c, req)
	}
}

// Conn is a connection between two processes of the system. Both ends can make
// calls.
type Conn struct {
	rpc     *jsonrpc2.Conn
	remote  string
	active  atomic.Int64
	pending *pendingCalls
}

// NewConn returns a Conn on a network connection and starts to serve mux on it.
func NewConn(nc net.Conn, mux Mux) *Conn {
	c := &Conn{remote: nc.RemoteAddr().String(), pending: newPendingCalls()}
	ready := make(chan struct{})
	handle := func(ctx context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) (any, error) {
		<-ready
		return c.dispatch(ctx, mux, req)
	}
	stream := jsonrpc2.NewBufferedStream(&timeoutConn{Conn: nc}, frameCodec{})
	next := jsonrpc2.HandlerWithError(handle).SuppressErrClosed()
	c.rpc = jsonrpc2.NewConn(context.Background(), stream, &asyncHandler{conn: c, next: next}, jsonrpc2.OnRecv(c.pending.onReceive), jsonrpc2.SetLogger(discardLogger{}))
	close(ready)
	go c.closeWhenStalled()
	return c
}

// asyncHandler handles each request in its own goroutine and counts the requests
// whose responses have not been written yet.
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

// Active returns the number of requests of the peer whose responses have not been
// written yet. A process that stops closes the connection once this is 0.
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
	resp, err := h(ctx, c, params)
	if err != nil {
		return nil, encodeError(err)
	}
	return resp, nil
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

// Call sends a request and decodes its response. To find out whether the peer may
// have received the request use NotSent and not the kind of the error, which the
// peer may have chosen.
func Call[Resp any](ctx context.Context, c *Conn, method string, req any) (Resp, error) {
	var resp Resp
	err := c.Call(ctx, method, req, &resp)
	return resp, err
}

// Call sends a request and decodes its response into resp. It returns the same
// errors as the function Call.
func (c *Conn) Call(ctx context.Context, method string, req, resp any) error {
	params, err := json.Marshal(req)
	if err != nil {
		return &Error{Op: method, Kind: hv.Invalid, Err: errors.Wrap(err, "encode"), NotSent: true}
	}
	if err := c.checkUsable(ctx, method); err != nil {
		return err
	}
	id, err := c.pending.add(method, len(params))
	if err != nil {
		return err
	}
	call, err := c.rpc.DispatchCall(ctx, method, json.RawMessage(params), jsonrpc2.PickID(jsonrpc2.ID{Num: id}))
	if err != nil {
		c.pending.remove(id)
		return decodeError(method, err)
	}
	// The call stays pending when ctx ends, because the library keeps it.
	if err := call.Wait(ctx, resp); err != nil {
		return decodeError(method, err)
	}
	return nil
}

// checkUsable returns an error if ctx or the connection has ended.
func (c *Conn) checkUsable(ctx context.Context, method string) error {
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

// RemoteAddr returns the address of the peer.
func (c *Conn) RemoteAddr() string { return c.remote }

// Done returns a channel that is closed when the connection has ended.
func (c *Conn) Done() <-chan struct{} { return c.rpc.DisconnectNotify() }

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
	var tooLong *frameSizeError
	switch {
	case errors.As(err, &tooLong):
		return &Error{Op: method, Kind: hv.Invalid, Err: err, NotSent: true}
	case errors.Is(err, jsonrpc2.ErrClosed):
		// The library also returns ErrClosed when the connection ends before the
		// response, so the peer may have received the request.
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

// discardLogger discards what the library logs when a connection ends. Both ends
// log that themselves, with its consequences.
type discardLogger struct{}

// Printf implements jsonrpc2.Logger.
func (discardLogger) Printf(string, ...any) {}
