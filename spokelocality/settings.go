package spokelocality

import "mulberryspoke.example/mulberryspoke/spokeclock"

// Settings weigh what leaving a data centre costs.
type Settings struct {
	// RoundTrip is the time, in milliseconds, that a request to another data centre takes
	// longer than one within, there and back.
	RoundTrip spokeclock.Millis
	// MegabytePrice is the delay, in milliseconds, that a caller should rather wait than
	// that a megabyte is transferred to another data centre.
	MegabytePrice spokeclock.Millis
	// MaxWait is the expected wait for a server, in milliseconds, up to which a data centre
	// has something to spare for others. With zero it is the shortest time within which a
	// first event is due.
	MaxWait spokeclock.Millis
	// SharePerSecond bounds by how much the share of requests that leave, to all other
	// data centres together, rises in a second. With zero, none leave while the own data centre has a server.
	SharePerSecond float64
	// PrefixLifetime is how long, in milliseconds, an engine keeps a prefix that no request
	// uses, where the size of its cache isn't known.
	PrefixLifetime spokeclock.Millis
}

// DefaultSettings returns the settings of a deployment that sets none.
func DefaultSettings() Settings {
	return Settings{
		RoundTrip: 2, MegabytePrice: 50, SharePerSecond: 0.8, PrefixLifetime: 30 * spokeclock.Second,
	}
}

const (
	// startPart is the part of the time to the first event that must be saved before the
	// first requests leave, and keepPart the part that must be saved for them to go on
	// leaving.
	startPart = 0.05
	keepPart  = 0.01
	// defaultTarget is the time within which the first event is due where no route tells.
	defaultTarget = spokeclock.Second
)

// maxWait returns the wait up to which a data centre has something to spare, in
// milliseconds.
func (s Settings) maxWait(target spokeclock.Millis) float64 {
	if s.MaxWait > 0 {
		return float64(s.MaxWait)
	}
	return float64(target)
}
