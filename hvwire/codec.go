package hvwire

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// frameCodec frames each message as a length of four bytes and a JSON object.
// Unlike the codecs of the library it bounds the size of a message.
type frameCodec struct{}

// frameSizeError means that a message was too long and was neither written nor
// read.
type frameSizeError struct{ length int }

func (e *frameSizeError) Error() string {
	return fmt.Sprintf("message of %d bytes is over the limit of %d", e.length, maxFrameBytes)
}

// WriteObject implements jsonrpc2.ObjectCodec.
func (frameCodec) WriteObject(w io.Writer, obj any) error {
	b, err := encode(obj)
	if err != nil {
		return errors.Wrap(err, "encode message")
	}
	if len(b) > maxFrameBytes {
		return &frameSizeError{len(b)}
	}
	frame := binary.BigEndian.AppendUint32(make([]byte, 0, 4+len(b)), uint32(len(b)))
	_, err = w.Write(append(frame, b...))
	return errors.Wrap(err, "write message")
}

// ReadObject implements jsonrpc2.ObjectCodec.
func (frameCodec) ReadObject(r *bufio.Reader, v any) error {
	var head [4]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n > maxFrameBytes {
		return &frameSizeError{int(n)}
	}
	b := make([]byte, n)
	if _, err := io.ReadFull(r, b); err != nil {
		return errors.Wrap(err, "read message")
	}
	return errors.Wrap(decode(b, v), "decode message")
}

// encode returns the text of an object. The messages of the library encode themselves;
// json.Marshal would check and copy their text once more.
func encode(obj any) ([]byte, error) {
	if m, ok := obj.(json.Marshaler); ok {
		return m.MarshalJSON()
	}
	return json.Marshal(obj)
}

// decode decodes the text of an object. The messages of the library check their text
// themselves.
func decode(b []byte, v any) error {
	if m, ok := v.(json.Unmarshaler); ok {
		return m.UnmarshalJSON(b)
	}
	return json.Unmarshal(b, v)
}

// writeTimeout bounds a write, so that a connection whose peer no longer reads is
// closed. Without it a half-open connection would block all senders.
const writeTimeout = 3 * time.Second

// timeoutConn bounds the time of each write, closes the connection after a failed
// one, and counts bytes.
type timeoutConn struct{ net.Conn }

// sent and received count the bytes on all connections of the process.
var sent, received atomic.Int64

// Traffic returns how many bytes the process has sent and received on all its
// connections to gates and sides.
func Traffic() (out, in int64) { return sent.Load(), received.Load() }

func (c *timeoutConn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(b)
	sent.Add(int64(n))
	if err != nil {
		// The peer may have received part of a message. Without the close a peer
		// that sends but does not read would also stay connected.
		_ = c.Close()
	}
	return n, err
}

func (c *timeoutConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	received.Add(int64(n))
	return n, err
}
