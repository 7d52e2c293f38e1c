package link

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"io"

	"github.com/pkg/errors"
)

// MaxMessage is the size in bytes of the largest message taken.
const MaxMessage = 16 << 20

// ErrTooLarge is returned for a message above MaxMessage.
var ErrTooLarge = errors.New("link: message is too large")

// codec writes each object as a length and a JSON text. It implements
// jsonrpc2.ObjectCodec.
type codec struct {
	sent, received func(bytes int)
}

// WriteObject implements jsonrpc2.ObjectCodec.
func (c codec) WriteObject(w io.Writer, v any) error {
	text, err := json.Marshal(v)
	if err != nil {
		return errors.Wrap(err, "link: encode")
	}
	var length [binary.MaxVarintLen64]byte
	n := binary.PutUvarint(length[:], uint64(len(text)))
	c.sent(n + len(text))
	if _, err := w.Write(length[:n]); err != nil {
		return err
	}
	_, err = w.Write(text)
	return err
}

// ReadObject implements jsonrpc2.ObjectCodec.
func (c codec) ReadObject(r *bufio.Reader, v any) error {
	length, err := binary.ReadUvarint(r)
	if err != nil {
		return err
	}
	if length > MaxMessage {
		return ErrTooLarge
	}
	text := make([]byte, length)
	if _, err := io.ReadFull(r, text); err != nil {
		return err
	}
	c.received(int(length))
	return errors.Wrap(json.Unmarshal(text, v), "link: decode")
}
