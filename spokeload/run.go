package spokeload

import (
	"context"
	"sync"
	"sync/atomic"

	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokehttp"
)

// Run sends the traffic of a plan and waits for all results. It calls observe,
// unless nil, with the result of each request, one call at a time. It returns an
// error of kind ErrorInvalidPlan if the plan is invalid. If ctx ends, no further
// requests start and the results so far are returned without an error.
func Run(ctx context.Context, plan Plan, observe func(*RequestResult)) (*Result, error) {
	if err := plan.Validate(); err != nil {
		return nil, err
	}
	timeout := plan.RequestTimeout
	if timeout == 0 {
		timeout = defaultRequestTimeout
	}
	s := &sender{client: spokehttp.NewClient(), clock: &spokeclock.Clock{}, timeout: timeout}
	result := newResult(plan)
	var targetIndex atomic.Int64
	nextTarget := func() string {
		return plan.Targets[int(targetIndex.Add(1))%len(plan.Targets)]
	}
	var mutex sync.Mutex
	var running sync.WaitGroup
	runStart := s.clock.Now()
	for _, request := range plan.schedule() {
		intendedStart := runStart + request.startOffset
		if wait := intendedStart - s.clock.Now(); wait > 0 && spokeclock.Sleep(ctx, wait) != nil {
			break
		}
		running.Go(func() {
			requestResult := s.sendWithRetries(ctx, nextTarget, request, intendedStart)
			mutex.Lock()
			defer mutex.Unlock()
			result.addRequest(requestResult)
			if observe != nil {
				observe(requestResult)
			}
		})
	}
	running.Wait()
	result.computeQuantiles()
	return result, nil
}
