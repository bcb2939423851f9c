package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// startSmall starts machines in two zones, with the manifest in force.
func startSmall(d *Deployment, machines int, chatTimeoutMs int) error {
	d.Store.Put("op", "config", manifest(7, chatTimeoutMs))
	for i := range machines {
		zone := d.setting.Zones[i%len(d.setting.Zones)]
		if _, err := d.AddEntry(fmt.Sprintf("edge-%s-%d", zone, i/len(d.setting.Zones)+1), zone); err != nil {
			return err
		}
	}
	return d.StartEntries()
}

func chatAsk(n, events int) Ask {
	return Ask{
		Name: fmt.Sprintf("chat-%d", n), Method: http.MethodPost, Host: host, Path: "/chat/2f", Body: fmt.Sprintf("question %d", n), Deadline: 12 * time.Second,
		Tokens: "826,954", Prefix: fmt.Sprintf("5c1e07a2:119,91bd3f06:79,%08x:628", n), Stream: true, Events: events,
	}
}

// versionsCase: all workers of a service are replaced by workers of another version, in two
// releases, one worker at a time. ORDER: more than two streams hold events of both versions.
func versionsCase(d *Deployment, trouble bool) (bool, error) {
	const (
		events     = 155
		eventPause = 60 * time.Millisecond
		// routeTimeout stands to the consumer's 12 s as 1,200 ms to 2,500 ms in the booking
		// routes of doinho-mound.
		routeTimeout = 5760
		workers      = 4
		gap          = 900 * time.Millisecond
		// noticeDelay is the time from the start of a new worker to the notice of the old one.
		noticeDelay = 300 * time.Millisecond
		// linger is how long a worker serves on after its notice: drainMs and "many seconds".
		linger = 7 * time.Second
	)
	add := func(i int, name, version string) (*Worker, error) {
		return d.AddWorker(&Worker{
			ID: fmt.Sprintf("i-%s%d", name, i+1), Service: modelSvc, Zone: d.setting.Zones[i%4], Version: version, Slots: 64, Events: events, EventPause: eventPause,
		})
	}
	var old []*Worker
	for i := range workers {
		k, err := add(i, "old", "v1")
		if err != nil {
			return false, err
		}
		old = append(old, k)
	}
	if err := startSmall(d, 4, routeTimeout); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	d.record.Logf("traffic starts")
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
			case <-time.After(40 * time.Millisecond):
			}
			wait.Go(func() {
				result := consumer.Do(chatAsk(n, events), nil)
				mu.Lock()
				results = append(results, result)
				mu.Unlock()
			})
		}
	})
	release := func(first, last int) error {
		d.record.Logf("release: workers %d to %d of version v1 are replaced by ones of version v2", first+1, last)
		for i := first; i < last; i++ {
			if _, err := add(i, "new", "v2"); err != nil {
				return err
			}
			time.Sleep(noticeDelay)
			old[i].Drain(linger)
			time.Sleep(gap - noticeDelay)
		}
		return nil
	}
	time.Sleep(3 * time.Second)
	if trouble {
		if err := release(0, workers/2); err != nil {
			return false, err
		}
	}
	time.Sleep(8 * time.Second)
	if trouble {
		if err := release(workers/2, workers); err != nil {
			return false, err
		}
	}
	time.Sleep(8 * time.Second)
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
