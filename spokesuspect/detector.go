package spokesuspect

import (
	"math"

	"mulberryspoke.example/mulberryspoke/spokeclock"
)

// Method is the rule by which a peer is suspected.
type Method string

const (
	// MethodTimeout suspects a peer after a fixed time without a heartbeat.
	MethodTimeout Method = "timeout"
	// MethodPhiAccrual suspects a peer when the time without a heartbeat is
	// improbable given earlier intervals, after the phi accrual failure detector
	// as the Chitchat paper describes it.
	MethodPhiAccrual Method = "phi"
)

const (
	defaultTimeout      = 2500 * spokeclock.Millis(1)
	defaultPhiThreshold = 8.0
	// maxIntervals is the number of latest heartbeat intervals that are kept.
	maxIntervals = 100
	// minIntervals is the number of intervals from which phi is used.
	minIntervals = 8
	// minDeviationMillis is the least standard deviation, in milliseconds. Without
	// it a peer with regular heartbeats would be suspected after any small delay.
	minDeviationMillis = 50.0
)

// Detector monitors one peer. The zero value uses a timeout of 2.5 seconds. It
// is used by one goroutine at a time.
type Detector struct {
	// Method is the rule by which the peer is suspected. Empty means
	// MethodTimeout.
	Method Method
	// Timeout is the longest time without a heartbeat. Zero means 2.5 seconds.
	// MethodPhiAccrual uses it until it has seen enough heartbeats.
	Timeout spokeclock.Millis
	// PhiThreshold is the value of phi from which a peer is suspected. Zero
	// means 8.
	PhiThreshold float64

	lastHeartbeatAt spokeclock.Millis
	hasHeartbeat    bool
	intervals       []float64
}

// RecordHeartbeat records that a heartbeat was received.
func (d *Detector) RecordHeartbeat(now spokeclock.Millis) {
	if d.hasHeartbeat {
		d.intervals = append(d.intervals, float64(now-d.lastHeartbeatAt))
	}
	if len(d.intervals) > maxIntervals {
		d.intervals = d.intervals[1:]
	}
	d.lastHeartbeatAt = now
	d.hasHeartbeat = true
}

// Suspected reports whether the peer is suspected to have failed. It is before
// its first heartbeat.
func (d *Detector) Suspected(now spokeclock.Millis) bool {
	if !d.hasHeartbeat {
		return true
	}
	elapsed := now - d.lastHeartbeatAt
	if d.Method == MethodPhiAccrual && len(d.intervals) >= minIntervals {
		return d.phi(float64(elapsed)) >= d.phiThreshold()
	}
	return elapsed > d.timeout()
}

func (d *Detector) timeout() spokeclock.Millis {
	if d.Timeout == 0 {
		return defaultTimeout
	}
	return d.Timeout
}

func (d *Detector) phiThreshold() float64 {
	if d.PhiThreshold == 0 {
		return defaultPhiThreshold
	}
	return d.PhiThreshold
}

// phi returns minus the decimal logarithm of the probability that a heartbeat
// interval is longer than elapsed, in milliseconds, if intervals are normally
// distributed. A phi of 8 means a probability of 1e-8.
func (d *Detector) phi(elapsed float64) float64 {
	mean, deviation := meanAndDeviation(d.intervals)
	deviation = max(deviation, minDeviationMillis)
	z := (elapsed - mean) / deviation
	probability := math.Erfc(z/math.Sqrt2) / 2
	if probability <= 0 {
		return math.Inf(1)
	}
	return -math.Log10(probability)
}

// meanAndDeviation returns the mean and the standard deviation of values.
func meanAndDeviation(values []float64) (mean, deviation float64) {
	for _, value := range values {
		mean += value
	}
	mean /= float64(len(values))
	for _, value := range values {
		deviation += (value - mean) * (value - mean)
	}
	return mean, math.Sqrt(deviation / float64(len(values)))
}
