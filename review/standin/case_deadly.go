package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// deadlyCase: a request crashes each worker that begins to run it and comes again. The
// workers are back after some seconds under the ids that they had. BUDGET: it reaches
// workers in more than three retries later than contactMs after the third crash.
func deadlyCase(d *Deployment, trouble bool) (bool, error) {
	const (
		contact = 3 * time.Second
		down    = 3 * time.Second
	)
	count := 2
	if n, err := strconv.Atoi(os.Getenv("WORKERS")); err == nil {
		count = n
	}
	every := 1500 * time.Millisecond
	if n, err := strconv.Atoi(os.Getenv("EVERY_MS")); err == nil {
		every = time.Duration(n) * time.Millisecond
	}
	var mu sync.Mutex
	var crashes, reached []time.Time
	for i := range count {
		k := &Worker{ID: fmt.Sprintf("i-app%d", i+1), Service: appSvc, Zone: d.setting.Zones[i%4], Version: "v1", Slots: 6, Work: 30 * time.Millisecond}
		k.hook = func(_ http.ResponseWriter, r *http.Request) bool {
			if !strings.HasSuffix(r.URL.Path, "/deadly") {
				return false
			}
			mu.Lock()
			reached, crashes = append(reached, time.Now()), append(crashes, time.Now())
			mu.Unlock()
			d.record.Logf("the deadly request, as %s, reaches worker %s, which crashes", r.Header.Get("Mulberryspoke-Attempt-Id"), k.ID)
			k.Stop()
			time.AfterFunc(down, func() {
				d.record.Logf("worker %s is back", k.ID)
				_ = k.Start()
			})
			return true
		}
		if _, err := d.AddWorker(k); err != nil {
			return false, err
		}
	}
	if err := startSmall(d, 4, 12000); err != nil {
		return false, err
	}
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
	for end := time.Now().Add(60 * time.Second); time.Now().Before(end); time.Sleep(every) {
		if trouble {
			wait.Go(func() {
				consumer.Do(Ask{Name: "deadly", Method: http.MethodPost, Host: host, Path: "/book/deadly", Body: "the same booking", Deadline: 2500 * time.Millisecond}, nil)
			})
		}
	}
	close(stop)
	wait.Wait()
	late := 0
	if len(crashes) >= 3 {
		for _, at := range reached {
			if at.After(crashes[2].Add(contact)) {
				late++
			}
		}
	}
	d.record.Logf("%d crashes; %d retries reached workers later than contactMs after the third (allowed: three); %d of %d sound requests were served", len(crashes), late, served, sound)
	return late > 3, nil
}
