package spokestandin

import (
	"encoding/json"
	"fmt"
	"net/http"

	"mulberryspoke.example/mulberryspoke/spokeengine"
)

// quirk is what goes wrong with one stream.
type quirk struct {
	truncateAfter int
	duplicate     bool
	cross         bool
	skip          bool
}

func (e *Engine) takeQuirk() quirk {
	q := quirk{truncateAfter: -1}
	if e.faults.Truncate > 0 {
		e.faults.Truncate--
		q.truncateAfter = e.faults.TruncateAfter
	}
	q.duplicate = take(&e.faults.Duplicate)
	q.cross = take(&e.faults.Cross)
	q.skip = take(&e.faults.Skip)
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
	produced := event.Index - len(s.request.Resume)
	if s.quirk.truncateAfter >= 0 && produced >= s.quirk.truncateAfter {
		panic(http.ErrAbortHandler)
	}
	if s.quirk.skip && produced == 1 && event.Finish == "" {
		return
	}
	if s.quirk.cross {
		foreign := event
		foreign.Attempt = "another-attempt"
		foreign.Token = "WRONG "
		writeEvent(w, foreign)
	}
	writeEvent(w, event)
	if s.quirk.duplicate && event.Finish == "" {
		writeEvent(w, event)
	}
}

func writeEvent(w http.ResponseWriter, event spokeengine.Event) {
	text, _ := json.Marshal(event)
	_, _ = fmt.Fprintf(w, "data: %s\n\n", text)
}
