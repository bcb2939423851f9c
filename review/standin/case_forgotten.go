package main

import (
	"fmt"
	"sync"
	"time"
)

// forgottenCase: workers of two versions serve side by side; in a drill the store comes back
// from a copy some seconds old, and half of the machines are killed at that moment. ORDER:
// more than two streams hold events of both versions.
func forgottenCase(d *Deployment, trouble bool) (bool, error) {
	const (
		events     = 110
		eventPause = 60 * time.Millisecond
	)
	zones := d.setting.Zones
	addWorkers := func(name, version string, count int) error {
		for i := range count {
			_, err := d.AddWorker(&Worker{
				ID: fmt.Sprintf("i-%s%d", name, i+1), Service: modelSvc, Zone: zones[i], Version: version, Slots: 64, Events: events, EventPause: eventPause,
			})
			if err != nil {
				return err
			}
		}
		return nil
	}
	if err := addWorkers("old", "v1", 3); err != nil {
		return false, err
	}
	if err := startSmall(d, 4, 12000); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	if err := addWorkers("new", "v2", 3); err != nil {
		return false, err
	}
	d.record.Logf("workers of the versions v1 and v2 serve side by side; traffic starts")
	consumer := &Consumer{Key: goodKey, Retries: 3, deploy: d}
	var wait sync.WaitGroup
	var mu sync.Mutex
	var results []Result
	stop := make(chan struct{})
	wait.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(50 * time.Millisecond):
			}
			wait.Go(func() {
				result := consumer.Do(chatAsk(n, events), nil)
				mu.Lock()
				results = append(results, result)
				mu.Unlock()
			})
		}
	})
	time.Sleep(8 * time.Second)
	if trouble {
		d.Store.SetDown(true)
		d.record.Logf("the store is away")
		time.Sleep(500 * time.Millisecond)
		age := d.Store.Restore(4 * time.Second)
		d.record.Logf("the store is back from a copy %.1f s old", age.Seconds())
	}
	killed := d.Entries[:2]
	for _, e := range killed {
		e.Kill()
		d.record.Logf("machine %s is killed", e.Name)
	}
	time.Sleep(time.Second)
	for _, e := range killed {
		if err := e.Start(); err != nil {
			return false, err
		}
	}
	d.record.Logf("the machines are started again")
	time.Sleep(6 * time.Second)
	close(stop)
	wait.Wait()
	mixed, done := 0, 0
	for _, r := range results {
		if r.Done {
			done++
		}
		if r.Mixed() {
			mixed++
			d.record.Logf("%s holds events of two versions: %s", r.Ask.Name, r.Versions())
		}
	}
	d.record.Logf("%d streams, %d complete, %d with events of two versions (allowed: two)", len(results), done, mixed)
	return mixed > 2, nil
}
