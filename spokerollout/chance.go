package spokerollout

import "math"

// chance is the distribution of the number of bad answers of the new version in a stratum
// if both versions are the same.
type chance struct {
	// first is the least number. Logs are the logarithms of the probabilities, up to a
	// constant that is the same for all, from first on.
	first int64
	logs  []float64
}

// newHypergeometric returns the distribution if the bad answers of a stratum are spread
// over all its answers at random.
func newHypergeometric(s stratum) chance {
	bad, all := s.newBad+s.oldBad, s.newAll+s.oldAll
	first, last := max(0, bad-s.oldAll), min(s.newAll, bad)
	c := chance{first: first, logs: make([]float64, 1, last-first+1)}
	for x := first; x < last; x++ {
		ratio := float64(bad-x) * float64(s.newAll-x) / (float64(x+1) * float64(all-bad-s.newAll+x+1))
		c.logs = append(c.logs, c.logs[x-first]+math.Log(ratio))
	}
	return c.normalised()
}

// newBinomial returns the distribution if each answer is bad with the same probability.
func newBinomial(answers int64, part float64) chance {
	c := chance{logs: make([]float64, 1, answers+1)}
	odds := part / (1 - part)
	for x := range answers {
		c.logs = append(c.logs, c.logs[x]+math.Log(odds*float64(answers-x)/float64(x+1)))
	}
	return c.normalised()
}

// normalised makes the probabilities add up to one.
func (c chance) normalised() chance {
	logSum, _ := c.tilt(0)
	for i := range c.logs {
		c.logs[i] -= logSum
	}
	return c
}

// tilt returns ln E[exp(t X)] and its derivative by t.
func (c chance) tilt(t float64) (logSum, mean float64) {
	highest := math.Inf(-1)
	for i, log := range c.logs {
		highest = max(highest, log+t*float64(i))
	}
	var sum, weighted float64
	for i, log := range c.logs {
		weight := math.Exp(log + t*float64(i) - highest)
		sum += weight
		weighted += weight * float64(i)
	}
	return highest + math.Log(sum) + t*float64(c.first), float64(c.first) + weighted/sum
}

const (
	// maxTilt bounds the search for the best exponent of the bound, and searchSteps gives
	// it to a thousandth, around which the bound is flat.
	maxTilt     = 15.0
	searchSteps = 14
)

// chernoffBound returns an upper bound of the probability that independent numbers add up
// to at least a sum: the minimum over t > 0 of E[exp(t X)] / exp(t sum).
func chernoffBound(chances []chance, sum float64) float64 {
	low, high := 0.0, maxTilt
	for range searchSteps {
		t := (low + high) / 2
		total := 0.0
		for _, c := range chances {
			_, mean := c.tilt(t)
			total += mean
		}
		if total < sum {
			low = t
		} else {
			high = t
		}
	}
	exponent := -low * sum
	for _, c := range chances {
		logSum, _ := c.tilt(low)
		exponent += logSum
	}
	return math.Exp(min(0, exponent))
}
