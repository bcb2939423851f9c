package main

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"time"
)

// manifestOf returns a manifest. Its routes are /look/, which belongs to service app-a, and
// /move/, which belongs to moveTo; tenant hule930 has the given keys, tenant fida11 the others.
func manifestOf(version int, moveTo string, keys ...string) map[string]any {
	route := func(name, prefix, service string) map[string]any {
		return map[string]any{
			"name": name, "host": callersHost, "prefix": prefix, "kind": "idempotent", "timeoutMs": 1200, "targetLatencyMs": 150, "priority": 2, "service": service, "maxAttempts": 2, "public": false, "sticky": false, "resumable": false,
		}
	}
	service := func(name string) map[string]any {
		return map[string]any{"name": name, "healthPath": "/health", "maxConnections": 110, "protocol": "h1", "tls": false}
	}
	tenant := func(name string, keys []string) map[string]any {
		return map[string]any{"name": name, "apiKeys": keys, "priority": 1, "unit": "token_count", "plainTokens": 200, "ratePerS": 296691, "burst": 296691}
	}
	otherKeys := []string{"key-other", "key-spare"}
	if slices.Contains(keys, "key-other") {
		otherKeys = []string{"key-spare"}
	}
	return map[string]any{
		"version": version, "routes": []any{route("r-look", "/look/", "app-a"), route("r-move", "/move/", moveTo)},
		"services": []any{service("app-a"), service("app-b")},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []any{tenant("hule930", keys), tenant("fida11", otherKeys)},
	}
}

// playRollback plays an operator who puts a manifest in force, sees that it is wrong and
// writes the earlier content again, while first one zone and then one machine are cut off.
func playRollback(record *recorder, trouble bool) string {
	h := newHarness(record, map[string]int{"south-a": 2, "south-b": 3, "south-c": 1, "south-d": 2}, 284)
	defer h.saveLogs(os.Getenv("LOGS"))
	h.startWorker("i-a1", "app-a", "south-a")
	h.startWorker("i-a2", "app-a", "south-b")
	h.startWorker("i-b1", "app-b", "south-c")
	h.startWorker("i-b2", "app-b", "south-d")
	h.store.put("op", "config", manifestOf(5, "app-a", "key-kept"))
	h.startAll()

	zone, single := h.inZone("south-b"), h.inZone("south-c")[0]
	start := time.Now()
	at := func(seconds float64) {
		time.Sleep(time.Until(start.Add(time.Duration(seconds * float64(time.Second)))))
	}
	if trouble {
		h.cutOff(zone...)
		record.line("zone south-b is cut off")
	}
	at(2.0)
	record.line("operator: version 6 is confirmed, with key-wrong, with key-other at tenant hule930 and with /move/ at app-b (row version %d)", h.store.put("op", "config", manifestOf(6, "app-b", "key-kept", "key-wrong", "key-other")))
	at(4.4)
	if trouble {
		h.cutOff(single)
		record.line("%s is cut off", single.name)
	}
	at(5.0)
	record.line("operator: version 7 is confirmed, the content of version 5 (row version %d)", h.store.put("op", "config", manifestOf(7, "app-a", "key-kept")))
	confirmedAt := time.Now()
	at(5.5)
	if trouble {
		h.heal(zone...)
		record.line("zone south-b is back")
	}
	at(9.0)
	if trouble {
		h.heal(single)
		record.line("%s is back", single.name)
	}
	healedAt := time.Now()
	// contactMs after the last cut, all machines are in touch.
	at(9.0 + 3.0 + 1.0)
	broken := ""
	for time.Since(healedAt) < 25*time.Second {
		for _, m := range h.machines {
			if problem := h.askAfterRollback(m); problem != "" && broken == "" {
				broken = fmt.Sprintf("CONFIG, %.1f s after the confirmation of version 7 and %.1f s after the end of the last cut: %s", time.Since(confirmedAt).Seconds(), time.Since(healedAt).Seconds(), problem)
				record.line("%s", broken)
			}
		}
		time.Sleep(3 * time.Second)
	}
	return broken
}

// askAfterRollback sends requests on which versions 6 and 7 differ, and says what only
// version 6 allows.
func (h *harness) askAfterRollback(m *machine) string {
	const limit = 2500 * time.Millisecond
	if _, got := h.ask(m, "GET", "/look/1", "key-kept", limit); got.status != 200 {
		h.record.line("note: a sound request at %s got %s", m.name, got)
	}
	var problems []string
	if id, got := h.ask(m, "GET", "/look/2", "key-wrong", limit); got.status == 200 {
		problems = append(problems, fmt.Sprintf("%s ran %s with key-wrong, which version 7 has dropped", m.name, id))
	}
	if id, got := h.ask(m, "GET", "/move/3", "key-kept", limit); got.status == 200 && strings.HasPrefix(got.body, "i-b") {
		problems = append(problems, fmt.Sprintf("%s had %s run by app-b, to which only version 6 sends /move/", m.name, id))
	}
	if id, got := h.ask(m, "GET", "/look/4", "key-other", limit); got.status == 200 && strings.HasSuffix(strings.TrimSpace(got.body), "for hule930") {
		problems = append(problems, fmt.Sprintf("%s had %s run for tenant hule930, to which only version 6 gave key-other; it is fida11's", m.name, id))
	}
	return strings.Join(problems, "; ")
}

func (h *harness) inZone(zone string) []*machine {
	var machines []*machine
	for _, m := range h.machines {
		if m.zone == zone {
			machines = append(machines, m)
		}
	}
	return machines
}
