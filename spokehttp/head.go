package spokehttp

import (
	"bytes"
	"sync"

	"mulberryspoke.example/mulberryspoke/spokeerror"
)

// statusPrefixBytes is the length of the start of a status line up to the first digit of its
// status, as in "HTTP/1.1 1".
const statusPrefixBytes = 10

const (
	// freeHeadBytes is the length up to which a head may be held in any case.
	freeHeadBytes = 8 << 10
	// parsedHeadFactor is what a byte of a head of many short fields takes once it is parsed.
	parsedHeadFactor = 32
)

// headScanner reads along with the head of a response as it arrives, together with the
// informational responses before it. It charges what the head takes in memory, and looks for
// folded lines, which the HTTP library joins to the value of the field before. The zero value
// scans nothing. It is safe for concurrent use.
type headScanner struct {
	mutex    sync.Mutex
	isActive bool
	// hasStatus is whether the current line follows the status line, of which status is
	// the start.
	hasStatus bool
	status    []byte
	// isLineStart is whether nothing of the current line has arrived, and isBlank whether
	// it is empty so far but for its ending.
	isLineStart bool
	isBlank     bool
	// received is the number of bytes of the head so far, and holdFunc charges them.
	received int
	holdFunc HoldFunc
}

// begin starts the scan of the next head, which is charged by holdFunc until end.
func (h *headScanner) begin(holdFunc HoldFunc) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.isActive = true
	h.received, h.holdFunc = 0, holdFunc
	h.beginHead()
}

func (h *headScanner) beginHead() {
	h.hasStatus, h.status = false, h.status[:0]
	h.isLineStart, h.isBlank = true, true
}

// end ends the scan.
func (h *headScanner) end() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.isActive, h.holdFunc = false, nil
}

// scan scans what has arrived. It returns ErrNotHeld for a head that may not be held, and an
// error of kind KindNoAnswer for a folded line.
func (h *headScanner) scan(data []byte) error {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.isActive && !h.mayHold(len(data)) {
		return ErrNotHeld
	}
	return h.scanLines(data)
}

// mayHold reports whether n bytes more may be held.
func (h *headScanner) mayHold(n int) bool {
	h.received += n
	charged := min(n, h.received-freeHeadBytes)
	return charged <= 0 || h.holdFunc == nil || h.holdFunc(parsedHeadFactor*charged)
}

func (h *headScanner) scanLines(data []byte) error {
	for h.isActive && len(data) > 0 {
		line, rest, isWhole := bytes.Cut(data, []byte("\n"))
		if h.hasStatus && h.isLineStart && (data[0] == ' ' || data[0] == '\t') {
			return spokeerror.Newf("read response", KindNoAnswer, "the line %.*q of its head is folded", maxExcerpt, line)
		}
		if !h.hasStatus {
			h.addToStatus(line)
		}
		h.isLineStart = false
		h.isBlank = h.isBlank && len(bytes.TrimRight(line, "\r")) == 0
		if isWhole {
			h.endLine()
		}
		data = rest
	}
	return nil
}

// addToStatus keeps the start of the status line. The HTTP library accepts several blanks
// before the status.
func (h *headScanner) addToStatus(line []byte) {
	for _, c := range line {
		if len(h.status) == statusPrefixBytes {
			return
		}
		if c != ' ' || !bytes.HasSuffix(h.status, []byte(" ")) {
			h.status = append(h.status, c)
		}
	}
}

// endLine ends the current line. A blank one ends the head. Another head follows that of an
// informational response.
func (h *headScanner) endLine() {
	isHeadEnd := h.hasStatus && h.isBlank
	h.hasStatus, h.isLineStart, h.isBlank = true, true, true
	if !isHeadEnd {
		return
	}
	if len(h.status) == statusPrefixBytes && h.status[statusPrefixBytes-1] == '1' {
		h.beginHead()
		return
	}
	h.isActive = false
}
