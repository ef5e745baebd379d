package hvwire

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"net"
	"strings"
	"testing"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
)

func connPair(t *testing.T, mux Mux) (client, server *Conn) {
	t.Helper()
	a, b := net.Pipe()
	server, client = NewConn(a, mux), NewConn(b, Mux{})
	t.Cleanup(func() { client.Close(); server.Close() })
	return client, server
}

// Guards against losing the kind of an error on the wire. The calling process uses
// it to decide whether a request may be repeated.
func TestCallKeepsErrorKind(t *testing.T) {
	mux := Mux{}
	Handle(mux, MethodLeave, func(context.Context, *Conn, Leave) (Ack, error) {
		return Ack{}, &Error{Op: "start", Kind: hv.Full, Err: context.DeadlineExceeded}
	})
	client, _ := connPair(t, mux)
	_, err := Call[Ack](t.Context(), client, MethodLeave, Leave{})
	if kind := hv.KindOf(err); kind != hv.Full {
		t.Errorf("kind = %s of %v, want %s", kind, err, hv.Full)
	}
}

// Guards against treating a request that ran as not sent, because the peer
// returned an error that looks like a local one.
func TestOnlyTheLocalEndReportsNotSent(t *testing.T) {
	mux := Mux{}
	for _, kind := range []hv.ErrorKind{hv.Unavailable, hv.Full} {
		Handle(mux, MethodRun, func(context.Context, *Conn, Leave) (Ack, error) {
			return Ack{}, &Error{Op: "run", Kind: kind, Err: context.Canceled, NotSent: true}
		})
		client, _ := connPair(t, mux)
		if err := client.Call(t.Context(), MethodRun, Leave{}, nil); hv.KindOf(err) != kind || NotSent(err) {
			t.Errorf("error of the peer: %v, want kind %s and NotSent unset", err, kind)
		}
		endedCtx, cancel := context.WithCancel(t.Context())
		cancel()
		if err := client.Call(endedCtx, MethodRun, Leave{}, nil); !NotSent(err) {
			t.Errorf("call after the end of its context: %v, want it not sent", err)
		}
		client.Close()
		if err := client.Call(t.Context(), MethodRun, Leave{}, nil); hv.KindOf(err) != hv.Unavailable || !NotSent(err) {
			t.Errorf("call on a closed connection: %v, want kind %s and not sent", err, hv.Unavailable)
		}
	}
}

// Guards against reporting a definite failure when the connection is lost: the
// peer may have received the request.
func TestCallIsUncertainAfterConnectionLoss(t *testing.T) {
	mux := Mux{}
	block := make(chan struct{})
	defer close(block)
	started := make(chan struct{})
	Handle(mux, MethodRun, func(context.Context, *Conn, hv.Request) (hv.Response, error) {
		close(started)
		<-block
		return hv.Response{}, nil
	})
	client, server := connPair(t, mux)
	go func() {
		<-started
		server.Close()
	}()
	_, err := Call[hv.Response](t.Context(), client, MethodRun, hv.Request{Class: hv.Urgent})
	if kind := hv.KindOf(err); kind != hv.Uncertain {
		t.Errorf("kind = %s of %v, want %s", kind, err, hv.Uncertain)
	}
}

// Guards against waiting forever for a peer that does not respond.
func TestCallEndsWithContext(t *testing.T) {
	mux := Mux{}
	block := make(chan struct{})
	defer close(block)
	Handle(mux, MethodLeave, func(context.Context, *Conn, Leave) (Ack, error) {
		<-block
		return Ack{}, nil
	})
	client, _ := connPair(t, mux)
	ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
	defer cancel()
	if _, err := Call[Ack](ctx, client, MethodLeave, Leave{}); hv.KindOf(err) != hv.Uncertain {
		t.Errorf("error = %v, want kind %s", err, hv.Uncertain)
	}
}

// Guards against allocating unbounded memory for a message of a hostile peer.
func TestReadObjectRefusesLongFrame(t *testing.T) {
	frame := binary.BigEndian.AppendUint32(nil, maxFrameBytes+1)
	var v any
	err := frameCodec{}.ReadObject(bufio.NewReader(bytes.NewReader(frame)), &v)
	if err == nil || !strings.Contains(err.Error(), "over the limit") {
		t.Errorf("error = %v, want a frame size error", err)
	}
}
