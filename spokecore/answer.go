package spokecore

import (
	"bytes"
	"context"
	"errors"
	"io"
	"slices"

	"mulberryspoke.example/mulberryspoke/spokebackend"
	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokeerror"
)

// slowWrite is the time for which a write to the caller takes so long that the server's next
// events are read late. Writes take less than a millisecond while the caller reads.
const slowWrite = 10 * spokeclock.Millis(1)

// maxBufferedAnswer is the size in bytes up to which an answer is buffered
// until it is complete, so that an incomplete one can still be retried.
const maxBufferedAnswer = 256 << 10

const (
	// firstAnswerBuffer is the first size of an answer's buffer.
	firstAnswerBuffer = 512
	// freeAnswerBuffer is the size up to which an answer may be buffered in any case.
	freeAnswerBuffer = 4 << 10
	// maxAnswerBytes bounds an answer that is not an event stream, as a faulty
	// server may send bytes without end.
	maxAnswerBytes = 64 << 20
	// maxEventBytes bounds one event of a stream for the same reason.
	maxEventBytes = 256 << 10
)

// forwardAnswer forwards an answer that is not an event stream.
func (r *requestRun) forwardAnswer(ctx context.Context, response *Response, attempt *spokebackend.Attempt, w *watchdog) error {
	buffered, isWhole, err := r.readStart(response.Body)
	if err != nil {
		return spokeerror.New("read answer", KindNoAnswer, err)
	}
	if !response.Replayed {
		attempt.RecordToken(true)
		r.observer.begin(response.ServerFailed)
	}
	if response.ServerFailed && r.canRunAgain() && r.service.retryBudget.AllowRetry() {
		r.core.Counters.replaced.Inc()
		return spokeerror.Newf("read answer", KindServerFailureRetried, "the backend server reported a failure")
	}
	r.answerBytes = len(buffered)
	length := int64(len(buffered))
	if !isWhole {
		length = -1
	}
	if length < 0 && !r.stayAtServer(ctx, w) {
		return spokeerror.New("read answer", KindNoAnswer, context.Cause(ctx))
	}
	if isWhole {
		// The caller may send its next request as soon as it has the answer.
		r.recordCompleteAnswer(attempt.Instance())
	}
	r.headWritten = true
	r.callbacks.WriteHeadFunc(response, length)
	if err := r.callbacks.WriteBodyFunc(buffered); err != nil {
		return spokeerror.New("write answer to caller", KindCallerGone, err)
	}
	if length >= 0 {
		return nil
	}
	return r.forwardRemainder(response, buffered)
}

// readStart reads an answer up to maxBufferedAnswer, or up to what may be held, and reports
// whether that is the whole answer.
func (r *requestRun) readStart(body io.Reader) (buffered []byte, isWhole bool, err error) {
	buffered = make([]byte, 0, firstAnswerBuffer)
	for {
		n, err := body.Read(buffered[len(buffered):cap(buffered)])
		buffered = buffered[:len(buffered)+n]
		switch {
		case errors.Is(err, io.EOF):
			return buffered, len(buffered) <= maxBufferedAnswer, nil
		case err != nil:
			return nil, false, err
		case len(buffered) < cap(buffered):
			continue
		}
		// One byte more tells whether an answer of the largest size is complete.
		size := min(2*cap(buffered), maxBufferedAnswer+1)
		if size == cap(buffered) || !r.mayHold(cap(buffered), size) {
			return buffered, false, nil
		}
		buffered = append(make([]byte, 0, size), buffered...)
	}
}

// mayHold reports whether a buffer may grow from one size to another.
func (r *requestRun) mayHold(from, to int) bool {
	if to <= freeAnswerBuffer || r.callbacks.HoldFunc == nil {
		return true
	}
	return r.callbacks.HoldFunc(to - from)
}

// stayAtServer keeps the attempt from being cancelled to move it, as no other server can
// go on with an answer that is no stream. It reports whether the attempt was not cancelled
// before.
func (r *requestRun) stayAtServer(ctx context.Context, w *watchdog) bool {
	w.stop()
	r.cannotResume.Store(true)
	if ctx.Err() == nil {
		return true
	}
	r.cannotResume.Store(false)
	return false
}

// forwardRemainder forwards what follows the buffered part of a long answer. It uses the
// buffer again.
func (r *requestRun) forwardRemainder(response *Response, buffered []byte) error {
	chunk := buffered[:cap(buffered)]
	for forwarded := len(buffered); ; {
		n, err := response.Body.Read(chunk)
		forwarded += n
		r.answerBytes = forwarded
		if forwarded > maxAnswerBytes {
			return spokeerror.Newf("read answer", KindInvalidAnswer, "the answer is longer than %d bytes", maxAnswerBytes)
		}
		if n > 0 {
			if err := r.callbacks.WriteBodyFunc(chunk[:n]); err != nil {
				return spokeerror.New("write answer to caller", KindCallerGone, err)
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return spokeerror.New("read answer", KindNoAnswer, err)
		}
	}
}

// forwardEvents forwards each event as it arrives. A truncated event is never
// forwarded.
func (r *requestRun) forwardEvents(ctx context.Context, response *Response, attempt *spokebackend.Attempt, w *watchdog, cancel context.CancelCauseFunc) error {
	isFirst := true
	var forwardErr error
	err := response.EventsFunc(func(event Event) error {
		if !event.isComment() {
			attempt.RecordToken(isFirst)
			w.recordEvent()
			r.observer.recordEvent()
			if isFirst {
				r.answerStartedAt = r.core.Clock.Now()
				r.recordFirstEvent(attempt)
			}
			isFirst = false
		}
		if forwardErr = r.beginStream(ctx, attempt.Instance(), w); forwardErr != nil {
			return forwardErr
		}
		writeStartedAt := r.core.Clock.Now()
		forwardErr = r.forwardEvent(response, event, w)
		r.observer.endEvent()
		if r.core.Clock.Now()-writeStartedAt >= slowWrite {
			attempt.RecordSlowWrite()
		}
		if forwardErr == nil && r.allowMoveFromSlow(attempt) {
			cancel(errServerSlow)
		}
		return forwardErr
	})
	switch {
	case forwardErr != nil:
		return forwardErr
	case spokeerror.KindOf[Kind](err) == KindInvalidAnswer:
		return err
	case err != nil:
		return spokeerror.New("read events", KindNoAnswer, err)
	case !r.headWritten:
		return spokeerror.Newf("read events", KindNoAnswer, "the event stream ended without an event")
	case isFirst && response.EndsWithConnection:
		return spokeerror.Newf("read events", KindNoAnswer, "the connection of the resumed stream ended without an event")
	default:
		return nil
	}
}

// forwardEvent writes one event to the caller, after the head of the answer if
// it is the first.
func (r *requestRun) forwardEvent(response *Response, event Event, w *watchdog) error {
	r.recordExecutionStart()
	if (r.headWritten || r.request.isResumable()) && !event.follows(r.lastEventID) {
		return spokeerror.Newf("read events", KindInvalidAnswer, "event %.*q follows event %.*q", maxExcerpt, event.ID, maxExcerpt, r.lastEventID)
	}
	r.eventCount.Add(1)
	r.answerBytes += len(event.Raw)
	if !event.isComment() {
		r.cannotResume.Store(event.ID == "" || !r.request.isResumable())
	}
	if !r.headWritten {
		r.headWritten = true
		r.callbacks.WriteHeadFunc(response, -1)
	}
	w.pause()
	defer w.resume()
	if err := r.callbacks.WriteBodyFunc(event.Raw); err != nil {
		return spokeerror.New("write event to caller", KindCallerGone, err)
	}
	if event.ID != "" {
		r.lastEventID = event.ID
	}
	return nil
}

// ReadEvents returns an iterator over the server-sent events of a body. It calls
// handle with each complete event and stops at the first error of the body or
// of handle. A body that ends inside an event ends with io.ErrUnexpectedEOF. Text
// that is no event, such as a second answer in a stream, ends it with an error of kind
// KindInvalidAnswer. HoldFunc asks whether a number of bytes more may be held for an event; nil
// means that they may. ExtraFields are the fields that events may have besides those of
// the format.
func ReadEvents(body io.Reader, holdFunc func(bytes int) bool, extraFields ...string) func(handle func(Event) error) error {
	return func(handle func(Event) error) error {
		events := eventReader{source: body, holdFunc: holdFunc, held: freeEventBytes}
		for prefix := byteOrderMark; ; prefix = nil {
			raw, err := events.next()
			if errors.Is(err, io.EOF) {
				return nil
			}
			if err != nil {
				return err
			}
			lines := bytes.TrimPrefix(raw, prefix)
			if err := checkFields(lines, extraFields); err != nil {
				return err
			}
			if err := handle(Event{ID: eventID(lines), Raw: raw}); err != nil {
				return err
			}
		}
	}
}

// byteOrderMark may precede the first event of a stream.
var byteOrderMark = []byte("\xEF\xBB\xBF")

const (
	eventBufferBytes = 4 << 10
	// freeEventBytes is the length up to which an event may be held in any case.
	freeEventBytes = 8 << 10
	// eventGrowthFactor is what a byte of the buffer takes while it grows, as it is copied.
	eventGrowthFactor = 2
)

var (
	errEventTooLong = errors.New("the event has no end within the limit")
	errEventNotHeld = errors.New("there is no memory for the event")
)

// eventReader splits a body into events, each with the blank line that ends it.
type eventReader struct {
	source   io.Reader
	buffered []byte
	// lineStart is where the first line of buffered begins that has not been
	// examined.
	lineStart int
	chunk     []byte
	readErr   error
	// held is the length up to which an event may be buffered by now.
	held     int
	holdFunc func(bytes int) bool
}

// firstEventLength returns the length in bytes of the first buffered event,
// including the blank line that ends it, or -1 if the event is incomplete.
func (e *eventReader) firstEventLength() int {
	for {
		newline := bytes.IndexByte(e.buffered[e.lineStart:], '\n')
		if newline < 0 {
			return -1
		}
		start, end := e.lineStart, e.lineStart+newline+1
		if start > 0 && len(bytes.TrimRight(e.buffered[start:end], "\r\n")) == 0 {
			return end
		}
		e.lineStart = end
	}
}

// next returns the next event, which is valid until the next call. It returns
// io.EOF at the end of a body that ends with a complete event, errEventTooLong
// for an event of more than maxEventBytes, and errEventNotHeld for one that may not be held.
func (e *eventReader) next() ([]byte, error) {
	if e.chunk == nil {
		e.chunk = make([]byte, eventBufferBytes)
	}
	for {
		if length := e.firstEventLength(); length >= 0 {
			event := e.buffered[:length:length]
			e.buffered = e.buffered[length:]
			e.lineStart = 0
			return event, nil
		}
		if len(e.buffered) > maxEventBytes {
			return nil, errEventTooLong
		}
		if e.endsWithBlankLines() {
			event := e.buffered
			e.buffered, e.lineStart = nil, 0
			return event, nil
		}
		if e.readErr != nil {
			return nil, e.finalError()
		}
		n, err := e.source.Read(e.chunk)
		if !e.mayHold(len(e.buffered) + n) {
			return nil, errEventNotHeld
		}
		e.buffered = append(e.buffered, e.chunk[:n]...)
		e.readErr = err
	}
}

// mayHold reports whether an event may be buffered up to a length.
func (e *eventReader) mayHold(length int) bool {
	if length <= e.held || e.holdFunc == nil {
		return true
	}
	next := max(length, 2*e.held)
	if !e.holdFunc(eventGrowthFactor * (next - e.held)) {
		return false
	}
	e.held = next
	return true
}

// endsWithBlankLines reports whether only blank lines are left of a body that has ended.
func (e *eventReader) endsWithBlankLines() bool {
	return errors.Is(e.readErr, io.EOF) && len(e.buffered) > 0 && len(bytes.Trim(e.buffered, "\r\n")) == 0
}

// finalError returns the error that ended the body, or io.ErrUnexpectedEOF if
// it ended inside an event.
func (e *eventReader) finalError() error {
	if errors.Is(e.readErr, io.EOF) && len(e.buffered) > 0 {
		return io.ErrUnexpectedEOF
	}
	return e.readErr
}

// checkFields returns an error of kind KindInvalidAnswer if a line of an event is
// neither blank nor a comment nor one of the known fields.
func checkFields(event []byte, extraFields []string) error {
	for line := range bytes.Lines(event) {
		name, _, _ := bytes.Cut(bytes.TrimRight(line, "\r\n"), []byte(":"))
		switch string(name) {
		case "", "data", "event", "id", "retry":
			continue
		}
		if !slices.Contains(extraFields, string(name)) {
			return spokeerror.Newf("read events", KindInvalidAnswer, "%.*q is no field of an event", maxExcerpt, name)
		}
	}
	return nil
}

// maxExcerpt bounds in characters what an error quotes of a stream.
const maxExcerpt = 64

// eventID returns the ID of an event, or "" if it has none.
func eventID(event []byte) string {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(id))
		}
	}
	return ""
}
