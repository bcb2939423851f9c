package spokestandin

import (
	"encoding/json"
	"fmt"
	"net/http"

	"mulberryspoke.example/mulberryspoke/spokeengine"
)

// streamFault is what goes wrong with one stream.
type streamFault struct {
	truncateAfter int
	duplicate     bool
	cross         bool
	skip          bool
}

func (e *Engine) takeStreamFault() streamFault {
	q := streamFault{truncateAfter: -1}
	if e.faults.TruncatedStreams > 0 {
		e.faults.TruncatedStreams--
		q.truncateAfter = e.faults.TruncateAfterTokens
	}
	q.duplicate = take(&e.faults.DuplicateTokenStreams)
	q.cross = take(&e.faults.ForeignTokenStreams)
	q.skip = take(&e.faults.MissingTokenStreams)
	return q
}

func take(left *int) bool {
	if *left == 0 {
		return false
	}
	*left--
	return true
}

// write sends an event, with what goes wrong with its stream.
func (s *sequence) write(w http.ResponseWriter, event spokeengine.Event) {
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
