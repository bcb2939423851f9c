package spokecore

import "sync"

const (
	// lengthSmoothing is the weight of the previous estimate against one more
	// answer.
	lengthSmoothing = 0.95
	// initialLengthFraction is the estimate before the first answer, as a
	// fraction of the declared tokens.
	initialLengthFraction = 0.5
)

// answerLengthEstimator estimates, by an exponential moving average for each
// route, which fraction of the declared tokens the answers have. The zero value
// is ready for use. It is safe for concurrent use.
type answerLengthEstimator struct {
	mutex     sync.Mutex
	fractions map[string]float64
}

// expectedTokens returns the expected length of an answer in tokens.
func (a *answerLengthEstimator) expectedTokens(route string, declared int) int {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	fraction, hasEstimate := a.fractions[route]
	if !hasEstimate {
		fraction = initialLengthFraction
	}
	return int(fraction * float64(declared))
}

// recordAnswer updates the estimate with the length of a complete answer. Both
// lengths are in tokens.
func (a *answerLengthEstimator) recordAnswer(route string, declared, answered int) {
	if declared <= 0 {
		return
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.fractions == nil {
		a.fractions = make(map[string]float64)
	}
	fraction := float64(answered) / float64(declared)
	if previous, hasEstimate := a.fractions[route]; hasEstimate {
		fraction = lengthSmoothing*previous + (1-lengthSmoothing)*fraction
	}
	a.fractions[route] = fraction
}
