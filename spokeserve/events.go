package spokeserve

import (
	"encoding/json"
	"io"
	"net/http"

	"mulberryspoke.example/mulberryspoke/spokeclock"
)

// eventBody writes an answer as server-sent events in the format of model
// clients. An incomplete answer ends with an error event and a closed connection,
// never with the [DONE] marker of a complete one.
type eventBody struct {
	generation  *generation
	firstToken  string
	model       string
	eventPrefix []byte
	buffer      []byte
}

// Read is not used, because the generated server calls WriteTo.
func (e *eventBody) Read([]byte) (int, error) { return 0, io.EOF }

// Close cancels the answer if it has not ended.
func (e *eventBody) Close() error {
	e.generation.cancel()
	return nil
}

// WriteTo writes the answer until it ends. It returns the error that interrupted
// the answer, if any.
func (e *eventBody) WriteTo(w io.Writer) (int64, error) {
	out := &flushingWriter{writer: w}
	if responseWriter, ok := w.(http.ResponseWriter); ok {
		out.controller = http.NewResponseController(responseWriter)
	}
	e.encodeEventPrefix()
	e.writeToken(out, e.firstToken)
	for token := range e.generation.tokens {
		e.writeToken(out, token)
		if out.err != nil {
			return out.written, out.err
		}
	}
	e.writeEnd(out)
	return out.written, out.err
}

// encodeEventPrefix encodes the part that all events share.
func (e *eventBody) encodeEventPrefix() {
	model, _ := json.Marshal(e.model)
	id, _ := json.Marshal("chatcmpl-" + e.generation.id)
	created, _ := json.Marshal(int64(spokeclock.Wall() / spokeclock.Second))
	e.eventPrefix = append(e.eventPrefix, `data: {"id":`...)
	e.eventPrefix = append(e.eventPrefix, id...)
	e.eventPrefix = append(e.eventPrefix, `,"object":"chat.completion.chunk","created":`...)
	e.eventPrefix = append(e.eventPrefix, created...)
	e.eventPrefix = append(e.eventPrefix, `,"model":`...)
	e.eventPrefix = append(e.eventPrefix, model...)
	e.eventPrefix = append(e.eventPrefix, `,"choices":[{"index":0,"delta":`...)
}

func (e *eventBody) writeToken(out *flushingWriter, token string) {
	text, _ := json.Marshal(token)
	e.buffer = append(e.buffer[:0], e.eventPrefix...)
	e.buffer = append(e.buffer, `{"content":`...)
	e.buffer = append(e.buffer, text...)
	e.buffer = append(e.buffer, "},\"finish_reason\":null}]}\n\n"...)
	out.write(e.buffer)
}

// writeEnd writes the finish reason and the [DONE] marker, or an error event if the
// answer is incomplete.
func (e *eventBody) writeEnd(out *flushingWriter) {
	if refusal := e.generation.finalRefusal(); refusal != nil {
		text, _ := json.Marshal(refusal.Detail)
		out.write([]byte("data: {\"error\":" + string(text) + "}\n\n"))
		out.err = refusal
		return
	}
	reason, _ := json.Marshal(e.generation.finishReason)
	e.buffer = append(e.buffer[:0], e.eventPrefix...)
	e.buffer = append(e.buffer, `{},"finish_reason":`...)
	e.buffer = append(e.buffer, reason...)
	e.buffer = append(e.buffer, "}]}\n\ndata: [DONE]\n\n"...)
	out.write(e.buffer)
}

// flushingWriter flushes each event and keeps the first error.
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
