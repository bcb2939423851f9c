package spokefeed

import "mulberryspoke.example/mulberryspoke/spokeclock"

const (
	// MinPause is the least pause between two polls of a process on which others depend,
	// or that follows a relay.
	MinPause = 200 * spokeclock.Millis(1)
	// minReaderWait bounds the calls of a reader if the bounds are short.
	minReaderWait = 300 * spokeclock.Millis(1)
	// The waits of readers are fractions of the time in which news must be known.
	readerWaitDivisor = 4
	newsDelayShare    = 3
	newsDelayDivisor  = 4
	// minChangesWait keeps requests for changes rare if the bounds are short.
	minChangesWait = spokeclock.Second
	// TimeoutMargin is how long a call may take beyond its wait.
	TimeoutMargin = spokeclock.Second
	// recoveryMargin is the time for the call that fetches the changes missed while
	// the connection was silent.
	recoveryMargin = 500 * spokeclock.Millis(1)
)

// Bounds are the times in which followers must know of changes. The waits of their
// polls are derived from them.
type Bounds struct {
	// News is the time in which a change must be known.
	News spokeclock.Millis
	// Recovery is the time after a fault from which News holds again.
	Recovery spokeclock.Millis
}

// ReaderWait returns the longest wait of a poll that others depend on. The wait, the
// margin of a request and MaxConfirmAge together are three quarters of News.
func (b Bounds) ReaderWait() spokeclock.Millis {
	return max(minReaderWait, b.News/readerWaitDivisor-MinPause)
}

// MaxConfirmAge returns how long after the table's last answer a reader passes rows on.
func (b Bounds) MaxConfirmAge() spokeclock.Millis {
	return max(minReaderWait+RelayMargin, newsDelayShare*b.News/newsDelayDivisor-b.ReaderWait()-RelayMargin)
}

// ChangesWait returns the longest wait of a poll of the table itself. It is bounded so
// that a connection on which nothing arrives any more is noticed within Recovery, as all
// older changes must be known then.
func (b Bounds) ChangesWait() spokeclock.Millis {
	return max(minChangesWait, b.Recovery-TimeoutMargin-recoveryMargin)
}
