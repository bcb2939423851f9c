package main

import (
	"fmt"
	"sync"
	"time"
)

// takenUpCase: the store comes back from a copy in a drill; over contactMs later a machine
// is killed, and consumers take up its streams at the other machines. LOST: of 12 or more
// such streams less than half as many go on as new streams begin.
func takenUpCase(d *Deployment, trouble bool) (bool, error) {
	const (
		events     = 100
		eventPause = 60 * time.Millisecond
		contact    = 3 * time.Second
	)
	for i := range 4 {
		k := &Worker{ID: fmt.Sprintf("i-llm%d", i+1), Service: modelSvc, Zone: d.setting.Zones[i], Version: "v1", Slots: 64, Events: events, EventPause: eventPause}
		if _, err := d.AddWorker(k); err != nil {
			return false, err
		}
	}
	if err := startSmall(d, 4, 12000); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	d.record.Logf("traffic starts")
	consumer := &Consumer{Key: goodKey, Retries: 2, deploy: d}
	var wait sync.WaitGroup
	var mu sync.Mutex
	var results []Result
	stop := make(chan struct{})
	wait.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(60 * time.Millisecond):
			}
			wait.Go(func() {
				result := consumer.Do(chatAsk(n, events), nil)
				mu.Lock()
				results = append(results, result)
				mu.Unlock()
			})
		}
	})
	time.Sleep(4 * time.Second)
	if trouble {
		d.Store.SetDown(true)
		d.record.Logf("the store is away")
		time.Sleep(500 * time.Millisecond)
		age := d.Store.Restore(3 * time.Second)
		d.record.Logf("the store is back from a copy %.1f s old", age.Seconds())
	}
	time.Sleep(contact + 1500*time.Millisecond)
	killed := d.Entries[1]
	killedAt := time.Now()
	killed.Kill()
	d.record.Logf("machine %s is killed; the core has been stable for over contactMs", killed.Name)
	time.Sleep(time.Second)
	if err := killed.Start(); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	close(stop)
	wait.Wait()
	// Judged are the streams that the kill broke off and that were taken up at another
	// machine, and the new streams of the same time at those machines.
	takenUp, wentOn, began, begun := 0, 0, 0, 0
	for _, r := range results {
		firstTry := r.Tries[0]
		if firstTry.Machine != killed.Name && firstTry.Sent.After(killedAt) {
			begun++
			if firstTry.Events > 0 {
				began++
			}
		}
		counted, goesOn := false, false
		for _, t := range r.Tries[1:] {
			if t.After == 0 || t.Machine == killed.Name || firstTry.Machine != killed.Name || firstTry.Sent.After(killedAt) {
				continue
			}
			counted = true
			goesOn = goesOn || t.Events > 0
		}
		if counted {
			takenUp++
		}
		if goesOn {
			wentOn++
		}
	}
	d.record.Logf("%d streams were taken up at machines in touch, %d of them went on; %d new streams were sent there, %d of them began", takenUp, wentOn, begun, began)
	if takenUp < 12 || begun == 0 {
		return false, fmt.Errorf("only %d streams were taken up", takenUp)
	}
	return float64(wentOn)/float64(takenUp) < 0.5*float64(began)/float64(begun), nil
}
