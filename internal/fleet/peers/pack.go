package peers

import (
	"bytes"
	"compress/flate"
	"encoding/base64"
	"encoding/json"
	"io"
	"sync"

	"github.com/pkg/errors"

	"fescuerill/internal/schema/fleet"
)

const (
	// minPackedItems is the number of items from which those of an update for a host in
	// another data centre are compressed. The gain on fewer is not worth the work.
	minPackedItems = 8
	// maxUnpackedBytes bounds the size of the items of an update after decompression.
	maxUnpackedBytes = 64 << 20
)

// errUnpackedTooLong is returned for items larger than maxUnpackedBytes.
var errUnpackedTooLong = errors.New("items of update exceed the size limit")

// packers holds unused compressors, each of which takes about a megabyte.
var packers = sync.Pool{New: func() any {
	w, err := flate.NewWriter(io.Discard, flate.BestSpeed)
	if err != nil {
		panic(err) // The level is valid.
	}
	return w
}}

// packItems compresses the items of an update, unless they are few. Most of their values are
// the entries of targets and hosts, which have nearly the same text.
func packItems(m *fleet.UpdateReply) error {
	if len(m.Items) < minPackedItems {
		return nil
	}
	text, err := json.Marshal(m.Items)
	if err != nil {
		return errors.Wrap(err, "encode items of update")
	}
	w := packers.Get().(*flate.Writer)
	defer packers.Put(w)
	var packed bytes.Buffer
	w.Reset(&packed)
	if _, err := w.Write(text); err != nil {
		return errors.Wrap(err, "compress items of update")
	}
	if err := w.Close(); err != nil {
		return errors.Wrap(err, "compress items of update")
	}
	encoded := base64.StdEncoding.EncodeToString(packed.Bytes())
	m.PackedItems, m.Items = &encoded, []fleet.StoreItem{}
	return nil
}

// unpackItems is the reverse of packItems.
func unpackItems(m *fleet.UpdateReply) error {
	if m.PackedItems == nil {
		return nil
	}
	packed, err := base64.StdEncoding.DecodeString(*m.PackedItems)
	if err != nil {
		return errors.Wrap(err, "decode packed items of update")
	}
	text, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxUnpackedBytes+1))
	if err != nil {
		return errors.Wrap(err, "decompress items of update")
	}
	if len(text) > maxUnpackedBytes {
		return errUnpackedTooLong
	}
	return errors.Wrap(json.Unmarshal(text, &m.Items), "decode items of update")
}
