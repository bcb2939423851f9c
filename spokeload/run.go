package spokeload

import (
	"context"
	"sync"
	"sync/atomic"

	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokehttp"
)

// Run carries a plan out. Each reply goes to observe, if set, from one
// goroutine at a time. It returns an error of kind ErrorPlan.
func Run(ctx context.Context, plan Plan, observe func(*RequestResult)) (*Result, error) {
	if err := plan.Validate(); err != nil {
		return nil, err
	}
	timeout := plan.RequestTimeout
	if timeout == 0 {
		timeout = defaultTimeout
	}
	c := &caller{client: spokehttp.NewClient(), clock: &spokeclock.Clock{}, timeout: timeout}
	result := newResult(plan)
	var turn atomic.Int64
	target := func() string {
		return plan.Targets[int(turn.Add(1))%len(plan.Targets)]
	}
	var mutex sync.Mutex
	var requests sync.WaitGroup
	start := c.clock.Now()
	for _, j := range plan.schedule() {
		intended := start + j.at
		if wait := intended - c.clock.Now(); wait > 0 && spokeclock.Sleep(ctx, wait) != nil {
			break
		}
		requests.Go(func() {
			reply := c.do(ctx, target, j, intended)
			mutex.Lock()
			defer mutex.Unlock()
			result.add(reply)
			if observe != nil {
				observe(reply)
			}
		})
	}
	requests.Wait()
	result.finish()
	return result, nil
}
