package spokecore

import "sync"

const (
	// lengthMemory is the weight of what was learned against one more answer.
	lengthMemory = 0.95
	// firstLength is the part of the declared tokens that answers are taken to
	// have before any has been seen.
	firstLength = 0.5
)

// answerLengths learns which part of the declared tokens the answers of each
// route have. The zero value is ready for use. It is safe for concurrent use.
type answerLengths struct {
	mutex sync.Mutex
	parts map[string]float64
}

// expect returns the expected length of an answer in tokens.
func (a *answerLengths) expect(route string, declared int) int {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	part, known := a.parts[route]
	if !known {
		part = firstLength
	}
	return int(part * float64(declared))
}

// learn takes in an answer that was whole.
func (a *answerLengths) learn(route string, declared, answered int) {
	if declared <= 0 {
		return
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.parts == nil {
		a.parts = make(map[string]float64)
	}
	part := float64(answered) / float64(declared)
	if before, known := a.parts[route]; known {
		part = lengthMemory*before + (1-lengthMemory)*part
	}
	a.parts[route] = part
}
