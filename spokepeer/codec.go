package spokepeer

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/json"
	"io"

	"github.com/sourcegraph/jsonrpc2"

	"mulberryspoke.example/mulberryspoke/spokeerror"
	"mulberryspoke.example/mulberryspoke/spokehttp"
)

// maxMessageBytes bounds a message. The longest ones are configurations and the
// rows of whole tables.
const maxMessageBytes = 16 << 20

const (
	// freeMessageBytes is the length up to which a message may be held in any case.
	freeMessageBytes = 4 << 10
	// messagePartBytes is the part of a message that is read and charged at a time.
	messagePartBytes = 64 << 10
)

// boundedCodec refuses messages that are longer than maxMessageBytes, so that a
// malformed length can't exhaust the memory, and those for which there is no memory beside
// the other messages that are being read.
type boundedCodec struct {
	jsonrpc2.VarintObjectCodec
	// openFunc opens the charge of a message. Nil means that messages are not charged.
	openFunc spokehttp.OpenHoldFunc
}

// ReadObject implements jsonrpc2.ObjectCodec.
func (c boundedCodec) ReadObject(stream *bufio.Reader, v any) error {
	length, err := binary.ReadUvarint(stream)
	if err != nil {
		return err
	}
	if length > maxMessageBytes {
		return spokeerror.Newf("read message", KindMalformed, "the message has %d bytes, more than %d", length, maxMessageBytes)
	}
	if c.openFunc == nil || length <= freeMessageBytes {
		return readMessage(stream, int(length), nil, v)
	}
	holdFunc, releaseFunc := c.openFunc()
	defer releaseFunc()
	return readMessage(stream, int(length), holdFunc, v)
}

// readMessage reads and decodes a message. It is charged as it arrives, as a length costs its
// sender nothing.
func readMessage(stream io.Reader, length int, holdFunc spokehttp.HoldFunc, v any) error {
	var text bytes.Buffer
	text.Grow(min(length, messagePartBytes))
	for text.Len() < length {
		part := min(length-text.Len(), messagePartBytes)
		if holdFunc != nil && !holdFunc(part) {
			return spokeerror.New("read message", KindMalformed, spokehttp.ErrNotHeld)
		}
		if _, err := io.CopyN(&text, stream, int64(part)); err != nil {
			return err
		}
	}
	return json.Unmarshal(text.Bytes(), v)
}
