package main

import (
	"fmt"
	"maps"
	"net/http"
	"sync"
	"time"
)

// usageCase: in a drill the store comes back from a copy some seconds old, and all
// processes are killed meanwhile. ONE: two usage reports for one window with different
// counts.
func usageCase(d *Deployment, trouble bool) (bool, error) {
	const copyAge = 4 * time.Second
	for i := range 4 {
		k := &Worker{ID: fmt.Sprintf("i-app%d", i+1), Service: appSvc, Zone: d.setting.Zones[i], Version: "v1", Slots: 6, Work: 30 * time.Millisecond}
		if _, err := d.AddWorker(k); err != nil {
			return false, err
		}
	}
	if err := startSmall(d, 4, 12000); err != nil {
		return false, err
	}
	consumer := &Consumer{Key: goodKey, Retries: 1, deploy: d}
	stop := make(chan struct{})
	var wait sync.WaitGroup
	wait.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(50 * time.Millisecond):
			}
			wait.Go(func() {
				consumer.Do(Ask{Name: fmt.Sprintf("look-%d", n), Method: http.MethodGet, Host: host, Path: "/look/2f", Deadline: 2500 * time.Millisecond}, nil)
			})
		}
	})
	// The drill begins right after a usage report, once the duty is done steadily.
	before, start := 0, time.Now()
	for ; ; time.Sleep(20 * time.Millisecond) {
		reports := d.Cloud.Reports()
		if len(reports) >= 3 && len(reports) > before && before > 0 {
			break
		}
		before = len(reports)
		if time.Since(start) > 45*time.Second {
			return false, fmt.Errorf("no usage was reported")
		}
	}
	if trouble {
		d.Store.SetDown(true)
		d.record.Logf("the store is away; all processes are killed")
		for _, e := range d.Entries {
			e.Kill()
		}
		time.Sleep(time.Second)
		age := d.Store.Restore(copyAge)
		d.record.Logf("the store is back from a copy %.1f s old", age.Seconds())
		for _, e := range d.Entries {
			if err := e.Start(); err != nil {
				return false, err
			}
		}
		d.record.Logf("the processes are started again")
	}
	time.Sleep(25 * time.Second)
	close(stop)
	wait.Wait()
	broken := false
	first := map[int64]usageReport{}
	for _, r := range d.Cloud.Reports() {
		known, seen := first[r.Window]
		if !seen {
			first[r.Window] = r
			continue
		}
		if !maps.Equal(known.Counts, r.Counts) {
			d.record.Logf("window %d was reported as %v by %s and as %v by %s", r.Window, known.Counts, known.holder, r.Counts, r.holder)
			broken = true
		}
	}
	d.record.Logf("%d reports of %d windows were accepted", len(d.Cloud.Reports()), len(first))
	return broken, nil
}
