package spokeforecast

const (
	// stepMillis and stepMillisPerRequest are the assumed time of an engine's step: a fixed
	// part, and one for each request in its batch.
	stepMillis           = 2.9
	stepMillisPerRequest = 0.1
)

// BatchFactor returns how much longer an engine's step takes with a number of requests in
// its batch than with none.
func BatchFactor(batch int) float64 {
	return 1 + float64(max(0, batch))*stepMillisPerRequest/stepMillis
}
