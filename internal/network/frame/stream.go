package frame

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
	"github.com/tinylib/msgp/msgp"
)

// Sizes in bytes.
const (
	// MaxMessageSize is the size of the largest message that is accepted.
	MaxMessageSize = 16 << 20
	// maxPreallocBytes is the length up to which a buffer is allocated before
	// the message has arrived, because the length is stated by the peer. Larger
	// buffers grow as the data arrives.
	maxPreallocBytes = 64 << 10
	// bufferBytes is the size of the read and write buffers of a connection.
	bufferBytes = 8 << 10
)

// Kind identifies the encoding and type of a message. A message whose schema
// changes gets a new kind, so that daemons of two versions never misread each
// other.
type Kind byte

// KindCall is the kind of a JSON-RPC 2.0 object. All other kinds are of MessagePack
// messages.
const KindCall Kind = 'j'

// Errors of a stream.
var (
	// ErrTooLarge is returned for a message, to write or read, that is larger than
	// MaxMessageSize.
	ErrTooLarge = errors.New("frame: message is too large")
	// ErrUnexpectedKind is for a message of a kind that this side does not accept.
	ErrUnexpectedKind = errors.New("frame: unexpected kind of message")
)

// Traffic counts the bytes of messages sent and received. The zero value is
// ready to use. Its methods are safe for concurrent use.
type Traffic struct {
	sent, received atomic.Int64
}

// Sent returns the number of bytes sent.
func (t *Traffic) Sent() int64 { return t.sent.Load() }

// Received returns the number of bytes received.
func (t *Traffic) Received() int64 { return t.received.Load() }

// Stream reads and writes messages on a connection. Each message is preceded by
// its length and kind. It implements jsonrpc2.ObjectStream for calls. Messages
// that carry parts are passed to the function handleData.
type Stream struct {
	conn       net.Conn
	reader     *bufio.Reader
	traffic    *Traffic
	handleData func(k Kind, body []byte) error

	mu     sync.Mutex
	writer *bufio.Writer
	buffer []byte
}

// NewStream returns a stream on a connection. It counts the bytes in t. handleData is called
// with each MessagePack message; its error ends the reading.
func NewStream(c net.Conn, t *Traffic, handleData func(Kind, []byte) error) *Stream {
	return &Stream{
		conn: c, traffic: t, handleData: handleData,
		reader: bufio.NewReaderSize(c, bufferBytes), writer: bufio.NewWriterSize(c, bufferBytes),
	}
}

// WriteObject implements jsonrpc2.ObjectStream.
func (s *Stream) WriteObject(v any) error {
	body, err := json.Marshal(v)
	if err != nil {
		return errors.Wrap(err, "frame: encode message")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.write(KindCall, body)
}

// WriteData writes a MessagePack message.
func (s *Stream) WriteData(k Kind, m msgp.Marshaler) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	body, err := m.MarshalMsg(s.buffer[:0])
	if err != nil {
		return errors.Wrap(err, "frame: encode message")
	}
	if cap(body) <= maxPreallocBytes {
		s.buffer = body
	}
	return s.write(k, body)
}

// write writes a message. It writes nothing of a message that the other end would reject.
func (s *Stream) write(k Kind, body []byte) error {
	if len(body) > MaxMessageSize {
		return ErrTooLarge
	}
	var header [binary.MaxVarintLen64 + 1]byte
	n := binary.PutUvarint(header[:], uint64(len(body)))
	header[n] = byte(k)
	s.traffic.sent.Add(int64(n + 1 + len(body)))
	if _, err := s.writer.Write(header[:n+1]); err != nil {
		return err
	}
	if _, err := s.writer.Write(body); err != nil {
		return err
	}
	return s.writer.Flush()
}

// ReadObject implements jsonrpc2.ObjectStream.
func (s *Stream) ReadObject(v any) error {
	for {
		k, body, err := s.read()
		if err != nil {
			return err
		}
		if k == KindCall {
			return errors.Wrap(json.Unmarshal(body, v), "frame: decode message")
		}
		if err := s.handleData(k, body); err != nil {
			return err
		}
	}
}

func (s *Stream) read() (Kind, []byte, error) {
	length, err := binary.ReadUvarint(s.reader)
	if err != nil {
		return 0, nil, err
	}
	if length > MaxMessageSize {
		return 0, nil, ErrTooLarge
	}
	k, err := s.reader.ReadByte()
	if err != nil {
		return 0, nil, err
	}
	body, err := readBody(s.reader, int(length))
	s.traffic.received.Add(int64(len(body)))
	return Kind(k), body, err
}

// readBody reads a message body of the given length. A buffer for a long body
// grows as the data arrives.
func readBody(r io.Reader, length int) ([]byte, error) {
	if length <= maxPreallocBytes {
		body := make([]byte, length)
		_, err := io.ReadFull(r, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(r, int64(length)))
	if err == nil && len(body) < length {
		err = io.ErrUnexpectedEOF
	}
	return body, err
}

// Close implements jsonrpc2.ObjectStream.
func (s *Stream) Close() error { return s.conn.Close() }
