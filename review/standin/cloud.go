package main

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"
)

// Cloud is a stand-in for the platform's API of duties (PROTOCOL.md, "Singleton duties").
type Cloud struct {
	mu      sync.Mutex
	reports []usageReport
	record  *Record
}

type usageReport struct {
	at     time.Time
	holder string
	fence  string
	Window int64            `json:"windowId"`
	Counts map[string]int64 `json:"counts"`
}

func (c *Cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if r.URL.Path == "/usage" {
		report := usageReport{at: time.Now(), holder: r.Header.Get("Mulberryspoke-Duty-Holder"), fence: r.Header.Get("Mulberryspoke-Fence-Token")}
		if json.Unmarshal(body, &report) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		c.mu.Lock()
		c.reports = append(c.reports, report)
		c.mu.Unlock()
		c.record.Logf("platform accepts usage of window %d from %s, fence %s: %s", report.Window, report.holder, report.fence, body)
	}
	w.WriteHeader(http.StatusOK)
}

// Reports returns the accepted usage reports.
func (c *Cloud) Reports() []usageReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]usageReport(nil), c.reports...)
}
