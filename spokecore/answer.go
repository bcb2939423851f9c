package spokecore

import (
	"bytes"
	"context"
	"errors"
	"io"

	"mulberryspoke.example/mulberryspoke/spokebackend"
	"mulberryspoke.example/mulberryspoke/spokeerror"
)

// wholeLimit is the size up to which an answer is held back until it is whole,
// so that a broken one can still be replaced.
const wholeLimit = 256 << 10

// handWhole hands on an answer that is no series of events.
func (r *run) handWhole(reply *Response, work *spokebackend.Attempt) error {
	held, err := io.ReadAll(io.LimitReader(reply.Body, wholeLimit+1))
	if err != nil {
		return spokeerror.New("read answer", KindNoAnswer, err)
	}
	if !reply.Replayed {
		work.RecordToken(true)
	}
	if reply.ServerFailed && !r.handed && r.mayRunAgain() && r.service.budget.AllowRetry() {
		r.core.Counters.replaced.Inc()
		return spokeerror.Newf("read answer", KindServerFailureRetried, "the backend server reports a failure")
	}
	if r.handed {
		return spokeerror.Newf("read answer", KindInvalidAnswer, "no events behind the last one")
	}
	length := int64(len(held))
	if length > wholeLimit {
		length = -1
	}
	r.handed = true
	r.exchange.WriteHeadFunc(reply, length)
	if err := r.exchange.WriteBodyFunc(held); err != nil {
		return spokeerror.New("hand answer on", KindCallerGone, err)
	}
	if length >= 0 {
		return nil
	}
	return r.handRest(reply)
}

func (r *run) handRest(reply *Response) error {
	part := make([]byte, wholeLimit)
	for {
		n, err := reply.Body.Read(part)
		if n > 0 {
			if err := r.exchange.WriteBodyFunc(part[:n]); err != nil {
				return spokeerror.New("hand answer on", KindCallerGone, err)
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

// handEvents hands on each event as it comes. An event that is cut short is
// never handed on.
func (r *run) handEvents(reply *Response, work *spokebackend.Attempt, w *watch, cancel context.CancelCauseFunc) error {
	first := true
	var failed error
	err := reply.EventsFunc(func(event Event) error {
		work.RecordToken(first)
		w.event()
		first = false
		failed = r.handEvent(reply, event, w)
		if failed == nil && r.shouldLeave(work) {
			cancel(errSlow)
		}
		return failed
	})
	switch {
	case failed != nil:
		return failed
	case err != nil:
		return spokeerror.New("read events", KindNoAnswer, err)
	case !r.handed:
		return spokeerror.Newf("read events", KindNoAnswer, "the answer has no events")
	default:
		return nil
	}
}

func (r *run) handEvent(reply *Response, event Event, w *watch) error {
	r.running()
	r.events.Add(1)
	if !r.handed {
		r.handed = true
		r.exchange.WriteHeadFunc(reply, -1)
	}
	w.pause()
	defer w.resume()
	if err := r.exchange.WriteBodyFunc(event.Raw); err != nil {
		return spokeerror.New("hand event on", KindCallerGone, err)
	}
	if event.ID != "" {
		r.lastEvent = event.ID
	}
	return nil
}

// ReadEvents returns what passes on the events of a body in the form of
// server-sent events, each with the blank line that ends it.
func ReadEvents(body io.Reader) func(take func(Event) error) error {
	return func(take func(Event) error) error {
		events := eventReader{source: body}
		for {
			text, err := events.next()
			if errors.Is(err, io.EOF) {
				return nil
			}
			if err != nil {
				return err
			}
			if err := take(Event{ID: eventID(text), Raw: text}); err != nil {
				return err
			}
		}
	}
}

const eventBuffer = 4 << 10

// eventReader cuts a body into events, each with the blank line that ends it.
type eventReader struct {
	source io.Reader
	held   []byte
	part   []byte
	failed error
}

// eventEnd returns the length of the first event in the text, up to and with
// the blank line behind it, or -1.
func eventEnd(text []byte) int {
	for at := 0; ; {
		line := bytes.IndexByte(text[at:], '\n')
		if line < 0 {
			return -1
		}
		end := at + line + 1
		if at > 0 && len(bytes.TrimRight(text[at:end], "\r\n")) == 0 {
			return end
		}
		at = end
	}
}

// next returns the next event. It returns io.EOF at the end of a body that ends
// with a whole event.
func (e *eventReader) next() ([]byte, error) {
	if e.part == nil {
		e.part = make([]byte, eventBuffer)
	}
	for {
		if end := eventEnd(e.held); end >= 0 {
			event := e.held[:end]
			e.held = e.held[end:]
			return event, nil
		}
		if e.failed != nil {
			return nil, e.end()
		}
		n, err := e.source.Read(e.part)
		e.held = append(e.held[:len(e.held):len(e.held)], e.part[:n]...)
		e.failed = err
	}
}

func (e *eventReader) end() error {
	if errors.Is(e.failed, io.EOF) && len(e.held) > 0 {
		return io.ErrUnexpectedEOF
	}
	return e.failed
}

// eventID returns the identity that an event carries, or none.
func eventID(event []byte) string {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(id))
		}
	}
	return ""
}
