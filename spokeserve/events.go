package spokeserve

import (
	"encoding/json"
	"io"
	"net/http"

	"mulberryspoke.example/mulberryspoke/spokeclock"
)

// eventBody writes an answer as server-sent events, the way model clients read
// them. A broken answer ends with an error event and a cut connection, never
// with the mark of a whole one.
type eventBody struct {
	generation *generation
	first      string
	model      string
	head       []byte
	buffer     []byte
}

// Read is not used; the API's server calls WriteTo.
func (e *eventBody) Read([]byte) (int, error) { return 0, io.EOF }

// Close gives the answer up if it has not ended.
func (e *eventBody) Close() error {
	e.generation.giveUp()
	return nil
}

// WriteTo writes the answer until it ends. It returns the error that broke it.
func (e *eventBody) WriteTo(w io.Writer) (int64, error) {
	out := &flushingWriter{writer: w}
	if flusher, ok := w.(http.ResponseWriter); ok {
		out.controller = http.NewResponseController(flusher)
	}
	e.prepare()
	e.token(out, e.first)
	for token := range e.generation.tokens {
		e.token(out, token)
		if out.err != nil {
			return out.written, out.err
		}
	}
	e.finish(out)
	return out.written, out.err
}

// prepare encodes what is the same in every event.
func (e *eventBody) prepare() {
	model, _ := json.Marshal(e.model)
	id, _ := json.Marshal("chatcmpl-" + e.generation.identity)
	created, _ := json.Marshal(int64(spokeclock.Wall() / spokeclock.Second))
	e.head = append(e.head, `data: {"id":`...)
	e.head = append(e.head, id...)
	e.head = append(e.head, `,"object":"chat.completion.chunk","created":`...)
	e.head = append(e.head, created...)
	e.head = append(e.head, `,"model":`...)
	e.head = append(e.head, model...)
	e.head = append(e.head, `,"choices":[{"index":0,"delta":`...)
}

func (e *eventBody) token(out *flushingWriter, token string) {
	text, _ := json.Marshal(token)
	e.buffer = append(e.buffer[:0], e.head...)
	e.buffer = append(e.buffer, `{"content":`...)
	e.buffer = append(e.buffer, text...)
	e.buffer = append(e.buffer, "},\"finish_reason\":null}]}\n\n"...)
	out.write(e.buffer)
}

func (e *eventBody) finish(out *flushingWriter) {
	if refused := e.generation.refused(); refused != nil {
		text, _ := json.Marshal(refused.Detail)
		out.write([]byte("data: {\"error\":" + string(text) + "}\n\n"))
		out.err = refused
		return
	}
	reason, _ := json.Marshal(e.generation.finish)
	e.buffer = append(e.buffer[:0], e.head...)
	e.buffer = append(e.buffer, `{},"finish_reason":`...)
	e.buffer = append(e.buffer, reason...)
	e.buffer = append(e.buffer, "}]}\n\ndata: [DONE]\n\n"...)
	out.write(e.buffer)
}

// flushingWriter sends each event at once and keeps the first error.
type flushingWriter struct {
	writer     io.Writer
	controller *http.ResponseController
	written    int64
	err        error
}

func (f *flushingWriter) write(p []byte) {
	if f.err != nil {
		return
	}
	n, err := f.writer.Write(p)
	f.written += int64(n)
	if err == nil && f.controller != nil {
		err = f.controller.Flush()
	}
	f.err = err
}
