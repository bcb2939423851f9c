package spokestandin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"mulberryspoke.example/mulberryspoke/spokeengine"
)

// streamFault describes the faults of one stream. A negative truncateAfter
// means that the stream is not cut.
type streamFault struct {
	truncateAfter int
	duplicate     bool
	cross         bool
	skip          bool
}

func (e *Engine) nextStreamFault() streamFault {
	fault := streamFault{truncateAfter: -1}
	if e.faults.TruncatedStreams > 0 {
		e.faults.TruncatedStreams--
		fault.truncateAfter = e.faults.TruncateAfterTokens
	}
	fault.duplicate = decrementIfPositive(&e.faults.DuplicateTokenStreams)
	fault.cross = decrementIfPositive(&e.faults.ForeignTokenStreams)
	fault.skip = decrementIfPositive(&e.faults.MissingTokenStreams)
	return fault
}

// errorStream is an error page in the place of an answer's events.
const errorStream = "HTTP/1.1 500 Internal Server Error\r\n\r\ndata: {\"error\": \"out of memory\"}\n\n"

// refuseResume answers a request to resume an answer with an error if that is the
// next fault, and reports whether it did.
func (e *Engine) refuseResume(w http.ResponseWriter, request spokeengine.GenerateRequest) bool {
	if len(request.DeliveredTokens) == 0 {
		return false
	}
	e.mutex.Lock()
	isRefused := decrementIfPositive(&e.faults.RefusedResumes)
	isGarbled := !isRefused && decrementIfPositive(&e.faults.GarbledResumes)
	e.mutex.Unlock()
	switch {
	case isRefused:
		http.Error(w, "out of memory", http.StatusInternalServerError)
	case isGarbled:
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, errorStream)
	}
	return isRefused || isGarbled
}

func decrementIfPositive(count *int) bool {
	if *count == 0 {
		return false
	}
	*count--
	return true
}

// writeEventWithFaults sends an event and injects the faults of its stream.
func (s *sequence) writeEventWithFaults(w http.ResponseWriter, event spokeengine.Event) {
	produced := event.Index - len(s.request.DeliveredTokens)
	if s.fault.truncateAfter >= 0 && produced >= s.fault.truncateAfter {
		panic(http.ErrAbortHandler)
	}
	if s.fault.skip && produced == 1 && event.FinishReason == "" {
		return
	}
	if s.fault.cross {
		foreign := event
		foreign.AttemptID = "another-attempt"
		foreign.Token = "WRONG "
		writeEvent(w, foreign)
	}
	writeEvent(w, event)
	if s.fault.duplicate && event.FinishReason == "" {
		writeEvent(w, event)
	}
}

func writeEvent(w http.ResponseWriter, event spokeengine.Event) {
	text, _ := json.Marshal(event)
	_, _ = fmt.Fprintf(w, "data: %s\n\n", text)
}
