package spokelocality

import (
	"math"

	"mulberryspoke.example/mulberryspoke/spokeclock"
)

const (
	// evidenceTime is the time in which the weight of own answers decays to 1/e.
	evidenceTime = spokeclock.Second
	// minAnswers is the weight of own answers below which there is no evidence.
	minAnswers = 3.0
	// badPart is the part of answers that may be worse than in the own data centre.
	badPart = 0.2
	// minTrust bounds the trust in a data centre, and trustPerSecond is how fast it returns.
	minTrust       = 0.05
	trustPerSecond = 0.1
)

// evidence is what the own answers of one service show of a data centre.
type evidence struct {
	good, bad float64
	updatedAt spokeclock.Millis
	// lostTrust is the part of the data centre's capacity that isn't believed in.
	lostTrust float64
}

func (e *evidence) decay(now spokeclock.Millis) {
	factor := math.Exp(-float64(max(0, now-e.updatedAt)) / float64(evidenceTime))
	e.good, e.bad, e.updatedAt = e.good*factor, e.bad*factor, now
}

func (e *evidence) record(isGood bool, now spokeclock.Millis) {
	e.decay(now)
	if isGood {
		e.good++
		return
	}
	e.bad++
}

// badPart returns the part of the answers that were bad, or zero without evidence.
func (e *evidence) badPart() float64 {
	if e.good+e.bad < minAnswers {
		return 0
	}
	return e.bad / (e.good + e.bad)
}

// judge halves the trust in a data centre whose answers are worse than those of the own
// one, and lets it return otherwise.
func (e *evidence) judge(own *evidence, elapsed, now spokeclock.Millis) {
	e.decay(now)
	if e.badPart() > own.badPart()+badPart {
		e.lostTrust = min(1-minTrust, (1+e.lostTrust)/2)
		return
	}
	e.lostTrust = max(0, e.lostTrust-trustPerSecond*seconds(elapsed))
}

func seconds(span spokeclock.Millis) float64 { return float64(span) / float64(spokeclock.Second) }
