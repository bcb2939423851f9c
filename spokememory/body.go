package spokememory

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"mulberryspoke.example/mulberryspoke/spokeerror"
)

const (
	// maxFirstSegment is the largest first segment of a body of known length. The bodies of
	// most requests fit into it.
	maxFirstSegment = 16 << 10
	// firstUnknownSegment is the first segment of a body of unknown length.
	firstUnknownSegment = 4 << 10
	// maxSegment bounds what is held for bytes that have not arrived yet.
	maxSegment = 64 << 10
)

// Body is a request's body, in segments so that it need not be copied as it grows.
type Body struct {
	first  []byte
	others [][]byte
	length int64
}

// NewBody returns a body of one segment.
func NewBody(data []byte) Body {
	return Body{first: data, length: int64(len(data))}
}

// Len returns the length in bytes.
func (b Body) Len() int64 { return b.length }

// Reader returns a new reader of the whole body.
func (b Body) Reader() io.Reader {
	if len(b.others) == 0 {
		return bytes.NewReader(b.first)
	}
	readers := make([]io.Reader, 0, 1+len(b.others))
	readers = append(readers, bytes.NewReader(b.first))
	for _, segment := range b.others {
		readers = append(readers, bytes.NewReader(segment))
	}
	return io.MultiReader(readers...)
}

// WriteTo writes the body to w.
func (b Body) WriteTo(w io.Writer) (int64, error) {
	n, err := w.Write(b.first)
	written := int64(n)
	for _, segment := range b.others {
		if err != nil {
			break
		}
		n, err = w.Write(segment)
		written += int64(n)
	}
	return written, err
}

// Bytes returns the body in one piece. The bytes of a body of several segments are
// copied; the caller charges the copy.
func (b Body) Bytes() []byte {
	if len(b.others) == 0 {
		return b.first
	}
	data := make([]byte, 0, b.length)
	data = append(data, b.first...)
	for _, segment := range b.others {
		data = append(data, segment...)
	}
	return data
}

// ReadBody reads a whole body of up to limit bytes. Segments are charged as bytes arrive.
// Controller is that of the request's response; an eviction sets its read deadline, so that
// a read that is blocked fails. ReadBody returns an error of kind KindTooLarge,
// KindNotRead, KindFull, KindWorkspaceShare or KindEvicted.
func (r *Reservation) ReadBody(body io.Reader, limit int64, controller *http.ResponseController) (Body, error) {
	if r.announced > limit {
		return Body{}, spokeerror.Newf("read body", KindTooLarge, "%d bytes are announced", r.announced)
	}
	if r.announced == 0 {
		return Body{}, nil
	}
	reader := bodyReader{reservation: r, source: body, limit: limit}
	// A body that never sends a byte must be evicted, too.
	r.beginReading(func() { _ = controller.SetReadDeadline(time.Now()) })
	for {
		isComplete, err := reader.readSegment()
		if err != nil {
			reader.recycle()
			return Body{}, err
		}
		if isComplete {
			break
		}
	}
	if !r.endReading() {
		reader.recycle()
		return Body{}, spokeerror.New("read body", KindEvicted, nil)
	}
	return reader.body, nil
}

// segmentPool holds segments of maxSegment bytes of bodies that were not read completely,
// as clients that send such bodies would otherwise make the garbage collector fall behind.
// Segments of complete bodies are not used again, because a transport may read a body after
// its request has ended.
var segmentPool = sync.Pool{New: func() any { return new([maxSegment]byte) }}

// newSegment returns a segment. Its bytes may be those of another body.
func newSegment(size int64) []byte {
	if size < maxSegment {
		return make([]byte, size)
	}
	return segmentPool.Get().(*[maxSegment]byte)[:]
}

// recycle gives back the segments of a body that is not used.
func (b *bodyReader) recycle() {
	for _, segment := range b.body.others {
		if cap(segment) == maxSegment {
			segmentPool.Put((*[maxSegment]byte)(segment[:maxSegment]))
		}
	}
	b.body = Body{}
}

// bodyReader reads the segments of a body.
type bodyReader struct {
	reservation *Reservation
	source      io.Reader
	limit       int64
	body        Body
}

// nextSize returns the size of the next segment.
func (b *bodyReader) nextSize() int64 {
	announced := b.reservation.announced
	switch {
	case announced >= 0 && b.body.length == 0:
		return min(announced, maxFirstSegment)
	case announced >= 0:
		return min(announced-b.body.length, maxSegment)
	case b.body.length == 0:
		return firstUnknownSegment
	default:
		return min(b.body.length, maxSegment)
	}
}

// readSegment reads the next segment and reports whether the body is complete.
func (b *bodyReader) readSegment() (bool, error) {
	size := b.nextSize()
	if err := b.reservation.Grow(size); err != nil {
		return false, err
	}
	segment := newSegment(size)
	filled := 0
	for filled < len(segment) {
		n, err := b.source.Read(segment[filled:])
		filled += n
		if b.body.length+int64(filled) > b.limit {
			b.add(segment)
			return false, spokeerror.Newf("read body", KindTooLarge, "more than %d bytes have arrived", b.limit)
		}
		if errors.Is(err, io.EOF) {
			b.add(segment[:filled])
			return true, nil
		}
		if err != nil {
			b.add(segment)
			return false, b.readError(err)
		}
		b.reservation.recordArrival(n)
	}
	b.add(segment)
	return b.body.length == b.reservation.announced, nil
}

func (b *bodyReader) add(segment []byte) {
	if b.body.first == nil {
		b.body.first = segment
	} else {
		b.body.others = append(b.body.others, segment)
	}
	b.body.length += int64(len(segment))
}

// readError returns the error of a failed read, which an eviction may have caused.
func (b *bodyReader) readError(cause error) error {
	if !b.reservation.endReading() {
		return spokeerror.New("read body", KindEvicted, nil)
	}
	return spokeerror.New("read body", KindNotRead, cause)
}
