package spokesuspect_test

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"mulberryspoke.example/mulberryspoke/spokecase"
	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokesuspect"
)

// network is a way in which heartbeats arrive.
type network struct {
	Name string `yaml:"name"`
	// Delay is the mean of an exponential delay.
	Delay float64 `yaml:"delay_millis"`
	// Loss is the part of heartbeats that is lost.
	Loss float64 `yaml:"loss"`
	// PauseEvery and Pause hold all heartbeats up now and then.
	PauseEvery int     `yaml:"pause_every"`
	Pause      float64 `yaml:"pause_millis"`
	// DetectWithin bounds the detection of a death.
	DetectWithin spokeclock.Millis `yaml:"detect_within_millis"`
	// MostFalse bounds false suspicions in an hour, by the timeout.
	MostFalse int `yaml:"most_false_by_timeout"`
}

const (
	interval = 500
	beats    = 7200
)

// TestDetectors compares the timeout with phi accrual over an hour of
// heartbeats, then a death.
func TestDetectors(t *testing.T) {
	networks := spokecase.Read[[]network](t, "testdata/networks.yaml")
	for _, n := range networks {
		t.Run(n.Name, func(t *testing.T) {
			timeout := spokesuspect.Detector{}
			phi := spokesuspect.Detector{Method: spokesuspect.MethodPhiAccrual}
			falseTimeout, deadTimeout := n.run(&timeout)
			falsePhi, deadPhi := n.run(&phi)
			t.Logf("false suspicions in an hour: timeout %d, phi %d; death seen after: timeout %d ms, phi %d ms", falseTimeout, falsePhi, deadTimeout, deadPhi)
			require.LessOrEqual(t, falseTimeout, n.MostFalse)
			require.LessOrEqual(t, deadTimeout, n.DetectWithin)
		})
	}
}

// run returns how many times a live peer was suspected, and how long its death
// took to be.
func (n network) run(d *spokesuspect.Detector) (suspicions int, detection spokeclock.Millis) {
	random := rand.New(rand.NewPCG(1, 1))
	now, last := 0.0, 0.0
	suspected := false
	for beat := range beats {
		arrival := float64(beat*interval) + random.ExpFloat64()*n.Delay
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
