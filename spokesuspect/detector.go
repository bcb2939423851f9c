package spokesuspect

import (
	"math"

	"mulberryspoke.example/mulberryspoke/spokeclock"
)

// Method names a way to suspect a peer.
type Method string

const (
	// MethodTimeout suspects after a fixed silence.
	MethodTimeout Method = "timeout"
	// MethodPhiAccrual suspects when a silence is improbable given earlier gaps, after
	// the phi accrual failure detector as the Chitchat paper describes it.
	MethodPhiAccrual Method = "phi"
)

const (
	defaultTimeout   = 2500 * spokeclock.Millis(1)
	defaultThreshold = 8.0
	windowSize       = 100
	minimumGaps      = 8
	minimumDeviation = 50.0
)

// Detector watches one peer. The zero value uses a timeout of 2.5 seconds. It
// is used by one goroutine at a time.
type Detector struct {
	// Method is the way to suspect. Empty means a timeout.
	Method Method
	// Timeout is the longest silence. Zero means 2.5 seconds. The phi method
	// uses it until it has seen enough heartbeats.
	Timeout spokeclock.Millis
	// PhiThreshold is the value of phi from which a peer is suspected. Zero
	// means 8.
	PhiThreshold float64

	last  spokeclock.Millis
	heard bool
	gaps  []float64
}

// RecordHeartbeat notes that the peer was heard.
func (d *Detector) RecordHeartbeat(now spokeclock.Millis) {
	if d.heard {
		d.gaps = append(d.gaps, float64(now-d.last))
	}
	if len(d.gaps) > windowSize {
		d.gaps = d.gaps[1:]
	}
	d.last = now
	d.heard = true
}

// Suspected reports whether the peer is suspected. A peer never heard of is.
func (d *Detector) Suspected(now spokeclock.Millis) bool {
	if !d.heard {
		return true
	}
	silence := now - d.last
	if d.Method == MethodPhiAccrual && len(d.gaps) >= minimumGaps {
		return d.phi(float64(silence)) >= d.threshold()
	}
	return silence > d.timeout()
}

func (d *Detector) timeout() spokeclock.Millis {
	if d.Timeout == 0 {
		return defaultTimeout
	}
	return d.Timeout
}

func (d *Detector) threshold() float64 {
	if d.PhiThreshold == 0 {
		return defaultThreshold
	}
	return d.PhiThreshold
}

// phi is minus the decimal logarithm of the probability that a gap is longer
// than the silence, with gaps taken as normally distributed.
func (d *Detector) phi(silence float64) float64 {
	mean, deviation := moments(d.gaps)
	deviation = max(deviation, minimumDeviation)
	z := (silence - mean) / deviation
	probability := math.Erfc(z/math.Sqrt2) / 2
	if probability <= 0 {
		return math.Inf(1)
	}
	return -math.Log10(probability)
}

func moments(values []float64) (mean, deviation float64) {
	for _, value := range values {
		mean += value
	}
	mean /= float64(len(values))
	for _, value := range values {
		deviation += (value - mean) * (value - mean)
	}
	return mean, math.Sqrt(deviation / float64(len(values)))
}
