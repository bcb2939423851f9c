package spokesuspect_test

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"mulberryspoke.example/mulberryspoke/spokecase"
	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokesuspect"
)

// network describes how heartbeats arrive.
type network struct {
	Name string `yaml:"name"`
	// MeanDelay is the mean of an exponentially distributed delay, in
	// milliseconds.
	MeanDelay float64 `yaml:"delay_millis"`
	// Loss is the fraction of heartbeats that is lost.
	Loss float64 `yaml:"loss"`
	// One heartbeat in PauseEvery is delayed by Pause milliseconds more. Zero
	// delays none.
	PauseEvery int     `yaml:"pause_every"`
	Pause      float64 `yaml:"pause_millis"`
	// MaxDetectionTime bounds the time from the last heartbeat of a failed peer to
	// its suspicion by the timeout.
	MaxDetectionTime spokeclock.Millis `yaml:"detect_within_millis"`
	// MaxFalseSuspicions bounds the false suspicions in an hour by the timeout.
	MaxFalseSuspicions int `yaml:"most_false_by_timeout"`
}

const (
	intervalMillis = 500
	heartbeatCount = 7200
)

// TestDetectors compares the timeout with phi accrual over an hour of
// heartbeats, after which the peer fails. Bounds apply to the timeout only.
func TestDetectors(t *testing.T) {
	networks := spokecase.Read[[]network](t, "testdata/networks.yaml")
	for _, n := range networks {
		t.Run(n.Name, func(t *testing.T) {
			timeout := spokesuspect.Detector{}
			phi := spokesuspect.Detector{Method: spokesuspect.MethodPhiAccrual}
			timeoutSuspicions, timeoutDetection := n.simulate(&timeout)
			phiSuspicions, phiDetection := n.simulate(&phi)
			t.Logf("false suspicions in an hour: timeout %d, phi %d; failure detected after: timeout %d ms, phi %d ms", timeoutSuspicions, phiSuspicions, timeoutDetection, phiDetection)
			require.LessOrEqual(t, timeoutSuspicions, n.MaxFalseSuspicions)
			require.LessOrEqual(t, timeoutDetection, n.MaxDetectionTime)
		})
	}
}

// simulate returns the number of times that the live peer was suspected, and the
// time from its last heartbeat to the detection of its failure.
func (n network) simulate(d *spokesuspect.Detector) (suspicions int, detection spokeclock.Millis) {
	random := rand.New(rand.NewPCG(1, 1))
	now, last := 0.0, 0.0
	suspected := false
	for beat := range heartbeatCount {
		arrival := float64(beat*intervalMillis) + random.ExpFloat64()*n.MeanDelay
		if n.PauseEvery > 0 && beat%n.PauseEvery == n.PauseEvery-1 {
			arrival += n.Pause
		}
		if random.Float64() < n.Loss {
			continue
		}
		for now = last; now < arrival; now += 50 {
			if beat > 20 && d.Suspected(spokeclock.Millis(now)) && !suspected {
				suspected = true
				suspicions++
			}
		}
		suspected = false
		last = max(arrival, last)
		d.RecordHeartbeat(spokeclock.Millis(last))
	}
	for at := last; ; at += 50 {
		if d.Suspected(spokeclock.Millis(at)) {
			return suspicions, spokeclock.Millis(at - last)
		}
	}
}
