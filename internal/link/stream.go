package link

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"sync"

	"github.com/pkg/errors"
	"github.com/tinylib/msgp/msgp"
)

// Sizes of messages in bytes.
const (
	// MaxMessageSize is the size of the largest message taken.
	MaxMessageSize = 16 << 20
	// trusted is the length up to which room for a message is made before it has
	// arrived.
	trusted = 64 << 10
	// bufferSize is that of the buffers of a connection.
	bufferSize = 8 << 10
)

// kind says how the text of a message is coded. A message whose schema changes
// gets a new kind, so that daemons of two versions never misread each other.
type kind byte

const (
	// kindCall is a JSON-RPC 2.0 object.
	kindCall kind = 'j'
	// kindAsk and kindTell are the messages that carry parts, as MessagePack.
	kindAsk  kind = 'a'
	kindTell kind = 't'
)

// Errors of a stream.
var (
	// ErrTooLarge is returned for a message above MaxMessage.
	ErrTooLarge = errors.New("link: message is too large")
	// ErrUnexpectedKind is returned for a message of a kind that is not taken.
	ErrUnexpectedKind = errors.New("link: unexpected kind of message")
)

// stream carries messages, each with its length and kind, over a connection. It
// implements jsonrpc2.ObjectStream for calls; the messages that carry parts
// are handed to the function data as they come.
type stream struct {
	conn    net.Conn
	reader  *bufio.Reader
	traffic *Traffic
	data    func(k kind, text []byte) error

	mu     sync.Mutex
	writer *bufio.Writer
	text   []byte
}

func newStream(c net.Conn, t *Traffic, data func(kind, []byte) error) *stream {
	return &stream{
		conn: c, traffic: t, data: data,
		reader: bufio.NewReaderSize(c, bufferSize), writer: bufio.NewWriterSize(c, bufferSize),
	}
}

// WriteObject implements jsonrpc2.ObjectStream.
func (s *stream) WriteObject(v any) error {
	text, err := json.Marshal(v)
	if err != nil {
		return errors.Wrap(err, "link: encode")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.write(kindCall, text)
}

// writeData writes a message that carries parts.
func (s *stream) writeData(k kind, m msgp.Marshaler) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	text, err := m.MarshalMsg(s.text[:0])
	if err != nil {
		return errors.Wrap(err, "link: encode")
	}
	if cap(text) <= trusted {
		s.text = text
	}
	return s.write(k, text)
}

func (s *stream) write(k kind, text []byte) error {
	var head [binary.MaxVarintLen64 + 1]byte
	n := binary.PutUvarint(head[:], uint64(len(text)))
	head[n] = byte(k)
	s.traffic.sent.Add(int64(n + 1 + len(text)))
	if _, err := s.writer.Write(head[:n+1]); err != nil {
		return err
	}
	if _, err := s.writer.Write(text); err != nil {
		return err
	}
	return s.writer.Flush()
}

// ReadObject implements jsonrpc2.ObjectStream.
func (s *stream) ReadObject(v any) error {
	for {
		k, text, err := s.read()
		if err != nil {
			return err
		}
		if k == kindCall {
			return errors.Wrap(json.Unmarshal(text, v), "link: decode")
		}
		if err := s.data(k, text); err != nil {
			return err
		}
	}
}

func (s *stream) read() (kind, []byte, error) {
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
	text, err := readText(s.reader, int(length))
	s.traffic.received.Add(int64(len(text)))
	return kind(k), text, err
}

// readText reads a text of the given length. Room for a long one is only made
// as it arrives.
func readText(r io.Reader, length int) ([]byte, error) {
	if length <= trusted {
		text := make([]byte, length)
		_, err := io.ReadFull(r, text)
		return text, err
	}
	text, err := io.ReadAll(io.LimitReader(r, int64(length)))
	if err == nil && len(text) < length {
		err = io.ErrUnexpectedEOF
	}
	return text, err
}

// Close implements jsonrpc2.ObjectStream.
func (s *stream) Close() error { return s.conn.Close() }
