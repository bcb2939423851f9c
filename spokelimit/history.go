package spokelimit

import "mulberryspoke.example/mulberryspoke/spokeclock"

const (
	// historyStep is the length of the steps in which a history adds spending up, and
	// historyLength is how long it keeps them. Together they bound its size. An allotment
	// forgets what was spent once the rate has filled its bucket, after some seconds.
	historyStep   = 200 * spokeclock.Millis(1)
	historyLength = 10 * spokeclock.Second
)

// spendingHistory is what peers have spent of the allotment of a workspace that this instance
// has not seen. Without it, the first request here would find a full bucket.
type spendingHistory struct {
	steps []spendingStep
}

// spendingStep is what was spent within historyStep from a time on.
type spendingStep struct {
	at     spokeclock.Millis
	amount float64
}

func (h *spendingHistory) add(amount float64, now spokeclock.Millis) {
	if last := len(h.steps) - 1; last >= 0 && now-h.steps[last].at < historyStep {
		h.steps[last].amount += amount
		return
	}
	outdated := 0
	for outdated < len(h.steps) && now-h.steps[outdated].at > historyLength {
		outdated++
	}
	h.steps = append(h.steps[outdated:], spendingStep{at: now, amount: amount})
}

func (l *AllotmentLimiter) recordHistory(workspace string, amount float64, now spokeclock.Millis) {
	history, known := l.histories[workspace]
	if !known {
		history = &spendingHistory{}
		l.histories[workspace] = history
	}
	history.add(amount, now)
}

// replay spends the history from an allotment that this instance sees for the first time, and
// refills it in between.
func (l *AllotmentLimiter) replay(a *allotmentState, history *spendingHistory) {
	for _, step := range history.steps {
		l.refill(a, step.at)
		a.globalLevel -= step.amount
	}
}
