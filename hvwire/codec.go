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

// frameCodec writes each message as a length of four bytes and a JSON object.
// Unlike the codecs of the library it bounds the size of a message.
type frameCodec struct{}

// lengthError refuses a message before it is written or read.
type lengthError struct{ length int }

func (e *lengthError) Error() string {
	return fmt.Sprintf("message of %d bytes is over the limit of %d", e.length, maxFrameBytes)
}

// WriteObject implements jsonrpc2.ObjectCodec.
func (frameCodec) WriteObject(w io.Writer, obj any) error {
	b, err := json.Marshal(obj)
	if err != nil {
		return errors.Wrap(err, "encode message")
	}
	if len(b) > maxFrameBytes {
		return &lengthError{len(b)}
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
		return &lengthError{int(n)}
	}
	b := make([]byte, n)
	if _, err := io.ReadFull(r, b); err != nil {
		return errors.Wrap(err, "read message")
	}
	return errors.Wrap(json.Unmarshal(b, v), "decode message")
}

// writeTimeout ends a connection whose other end no longer reads. Without it
// a half-cut connection would block every sender.
const writeTimeout = 3 * time.Second

type limitedConn struct{ net.Conn }

// sent and received count the bytes of all connections of the process.
var sent, received atomic.Int64

// Traffic returns the bytes that the process has sent and received over all
// its connections to gates and sides.
func Traffic() (out, in int64) { return sent.Load(), received.Load() }

func (c *limitedConn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(b)
	sent.Add(int64(n))
	if err != nil {
		// The other end may have part of a message, and without this a peer
		// that sends but does not read would stay connected.
		_ = c.Close()
	}
	return n, err
}

func (c *limitedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	received.Add(int64(n))
	return n, err
}
