package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

// deadlyCase: a request crashes each worker that begins to run it and comes again. The
// workers are back after some seconds under the ids that they had. BUDGET: it reaches
// workers in more than three retries later than contactMs after the third crash.
//
// The service has four workers, one in each zone, and the request comes from a consumer of
// the first zone, at any of the zone's two machines. With VARIANT=any the service has two
// workers, and the request comes at any machine.
func deadlyCase(d *Deployment, trouble bool) (bool, error) {
	const (
		contact = 3 * time.Second
		down    = 3 * time.Second
	)
	workers, every, atAny := 4, 5*time.Second, os.Getenv("VARIANT") == "any"
	if atAny {
		workers, every = 2, 1500*time.Millisecond
	}
	var mu sync.Mutex
	var crashes []time.Time
	for i := range workers {
		k := &Worker{ID: fmt.Sprintf("i-app%d", i+1), Service: appSvc, Zone: d.setting.Zones[i], Version: "v1", Slots: 6, Work: 30 * time.Millisecond}
		k.hook = func(_ http.ResponseWriter, r *http.Request) bool {
			if !strings.HasSuffix(r.URL.Path, "/deadly") {
				return false
			}
			mu.Lock()
			crashes = append(crashes, time.Now())
			mu.Unlock()
			d.record.Logf("the deadly request, as %s, reaches worker %s, which crashes", r.Header.Get("Mulberryspoke-Attempt-Id"), k.ID)
			k.Stop()
			time.AfterFunc(down, func() {
				d.record.Logf("worker %s is back under its id", k.ID)
				_ = k.Start()
			})
			return true
		}
		if _, err := d.AddWorker(k); err != nil {
			return false, err
		}
	}
	// The fifth machine is the second one of the first zone.
	if err := startSmall(d, 5, 12000); err != nil {
		return false, err
	}
	ofZone := []*Entry{d.Entries[0], d.Entries[4]}
	time.Sleep(4 * time.Second)
	d.record.Logf("traffic starts")
	consumer := &Consumer{Key: goodKey, Retries: 0, deploy: d}
	stop := make(chan struct{})
	var wait sync.WaitGroup
	served, sound := 0, 0
	wait.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(200 * time.Millisecond):
			}
			wait.Go(func() {
				result := consumer.Do(Ask{Name: fmt.Sprintf("book-%d", n), Method: http.MethodPost, Host: host, Path: "/book/2f", Body: fmt.Sprintf("booking %d", n), Deadline: 2500 * time.Millisecond}, nil)
				mu.Lock()
				sound++
				if result.Done {
					served++
				}
				mu.Unlock()
			})
		}
	})
	n := 0
	for end := time.Now().Add(60 * time.Second); time.Now().Before(end); time.Sleep(every) {
		if !trouble {
			continue
		}
		var machine *Entry
		if !atAny {
			machine = ofZone[n%len(ofZone)]
		}
		n++
		wait.Go(func() {
			consumer.Do(Ask{Name: "deadly", Method: http.MethodPost, Host: host, Path: "/book/deadly", Body: "the same booking", Deadline: 2500 * time.Millisecond}, machine)
		})
	}
	close(stop)
	wait.Wait()
	late := 0
	for i, at := range crashes {
		if i >= 3 && at.After(crashes[2].Add(contact)) {
			late++
		}
	}
	d.record.Logf("%d crashes; %d retries reached workers later than contactMs after the third (allowed: three); %d of %d sound requests were served", len(crashes), late, served, sound)
	return late > 3, nil
}
