package spokepeer

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/json"
	"io"

	"github.com/sourcegraph/jsonrpc2"

	"mulberryspoke.example/mulberryspoke/spokeerror"
)

// maxMessageBytes bounds a message. The longest ones are configurations and the
// rows of whole tables.
const maxMessageBytes = 16 << 20

// initialMessageBytes bounds what is reserved for a message before it arrives.
const initialMessageBytes = 64 << 10

// boundedCodec refuses messages that are longer than maxMessageBytes, so that a
// malformed length can't exhaust the memory.
type boundedCodec struct {
	jsonrpc2.VarintObjectCodec
}

// ReadObject implements jsonrpc2.ObjectCodec.
func (boundedCodec) ReadObject(stream *bufio.Reader, v any) error {
	length, err := binary.ReadUvarint(stream)
	if err != nil {
		return err
	}
	if length > maxMessageBytes {
		return spokeerror.Newf("read message", KindMalformed, "the message has %d bytes, more than %d", length, maxMessageBytes)
	}
	var text bytes.Buffer
	text.Grow(min(int(length), initialMessageBytes))
	if _, err := io.CopyN(&text, stream, int64(length)); err != nil {
		return err
	}
	return json.Unmarshal(text.Bytes(), v)
}
