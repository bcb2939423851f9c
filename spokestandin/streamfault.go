package spokestandin

import (
	"encoding/json"
	"fmt"
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
