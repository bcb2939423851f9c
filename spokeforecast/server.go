package spokeforecast

import (
	"math"

	"mulberryspoke.example/mulberryspoke/spokeclock"
)

const (
	// maxWeight bounds the weight of earlier observations against a new one, so that the
	// model follows a server that has changed for good.
	maxWeight = 20.0
	// maxSurprise bounds the logarithm of the ratio of an observation to the estimate, so
	// that one stall does not change a well-known server.
	maxSurprise = 0.35
	// surpriseWeight is the weight of earlier observations from which maxSurprise applies.
	surpriseWeight = 2.0
	// priorWeight is the weight of the assumption that a server is as fast as the median of
	// its service.
	priorWeight = 0.25
	// evidenceHalfLife is the time without an observation in which the logarithm of the
	// delay factor halves, so that a server that seemed slow is tried again.
	evidenceHalfLife = 60 * spokeclock.Second
	// maxDelayFactor bounds the delay factor and its inverse. Servers of a service differ
	// by less than three.
	maxDelayFactor = 4.0
	// usualWorkTime is what a server reports whose work takes as long as usual.
	usualWorkTime = 100.0
	// workTimeWeight is the weight of a new report in the smoothed work time.
	workTimeWeight = 0.3
	// usualHalfLife is the time in which the usual work time follows the reports by half,
	// and maxUsualStep the part of it that one report stands for.
	usualHalfLife = 30 * spokeclock.Second
	maxUsualStep  = 5 * spokeclock.Second
	// maxWorkTime bounds a report, so that one alone does not count as a slow server.
	maxWorkTime = 4 * usualWorkTime
	// workTimeHalfLife is the time without a report in which the excess of the smoothed
	// work time halves.
	workTimeHalfLife = 2 * spokeclock.Second
)

// Server is the model of one run of a backend server. The zero value knows nothing.
type Server struct {
	// logGap is the logarithm of the usual time between events in milliseconds, at a batch
	// of no other request. It is valid if weight is above zero.
	logGap     float64
	weight     float64
	observedAt spokeclock.Millis
	// workTime and usualTime are the smoothed reports of the time that work takes, in
	// percent. They are valid if reportedAt is not zero.
	workTime   float64
	usualTime  float64
	reportedAt spokeclock.Millis
}

// HasGap reports whether the time between the server's events is known.
func (s *Server) HasGap() bool { return s.weight > 0 }

// Gap returns the usual time between events in milliseconds, at a batch of no other
// request.
func (s *Server) Gap() float64 { return math.Exp(s.logGap) }

// Age returns the time since the last observation.
func (s *Server) Age(now spokeclock.Millis) spokeclock.Millis { return now - s.observedAt }

// RecordGap records an observed time between events in milliseconds, at a batch of no
// other request. Its weight is 1 for a mean of as many gaps as make a whole observation.
func (s *Server) RecordGap(gap, weight float64, now spokeclock.Millis) {
	if !(gap > 0) || !(weight > 0) || math.IsInf(gap, 0) {
		return
	}
	surprise := math.Log(gap) - s.logGap
	if s.weight >= surpriseWeight {
		surprise = min(max(surprise, -maxSurprise), maxSurprise)
	}
	s.weight = min(s.weight+weight, maxWeight)
	s.logGap += surprise * weight / s.weight
	s.observedAt = now
}

// DelayFactor returns how long work usually takes at the server, as a ratio to a server
// with the given time between events in milliseconds, the median of its service. It is 1
// without evidence.
func (s *Server) DelayFactor(median float64, now spokeclock.Millis) float64 {
	if s.weight == 0 || median <= 0 {
		return 1
	}
	trust := s.weight / (s.weight + priorWeight) * math.Exp2(-float64(max(0, s.Age(now)))/float64(evidenceHalfLife))
	factor := math.Exp(trust * (s.logGap - math.Log(median)))
	return min(max(factor, 1/maxDelayFactor), maxDelayFactor)
}

// RecordWorkTime records the server's report of how long work takes at this moment, in
// percent of what is usual. Other numbers than positive ones are ignored.
func (s *Server) RecordWorkTime(percent int, now spokeclock.Millis) {
	if percent <= 0 {
		return
	}
	reported := min(float64(percent), maxWorkTime)
	if s.reportedAt == 0 {
		s.workTime, s.usualTime, s.reportedAt = usualWorkTime, usualWorkTime, now
	}
	s.workTime = s.decayedWorkTime(now)
	s.workTime += workTimeWeight * (reported - s.workTime)
	step := min(max(0, now-s.reportedAt), maxUsualStep)
	s.usualTime += (1 - math.Exp2(-float64(step)/float64(usualHalfLife))) * (reported - s.usualTime)
	s.reportedAt = now
}

// decayedWorkTime returns the smoothed work time, which returns to the usual one without
// reports.
func (s *Server) decayedWorkTime(now spokeclock.Millis) float64 {
	decay := math.Exp2(-float64(max(0, now-s.reportedAt)) / float64(workTimeHalfLife))
	return s.usualTime + (s.workTime-s.usualTime)*decay
}

// MomentaryDelay returns how long work takes at this moment by the server's reports, as a
// ratio to what is usual there, at least 1.
func (s *Server) MomentaryDelay(now spokeclock.Millis) float64 {
	if s.reportedAt == 0 {
		return 1
	}
	return max(1, s.decayedWorkTime(now)/s.usualTime)
}
