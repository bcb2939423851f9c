package main

// The names are those of one day.
const (
	host     = "ficu95.example"
	goodKey  = "i9n73hh2b9wu3fexd9dn"
	modelSvc = "huvo11a"
	appSvc   = "wuno96b"
)

// manifest returns a manifest with a resumable stream (/chat/), a lookup that may be
// repeated (/look/) and a booking that may not (/book/).
func manifest(version int, chatTimeoutMs int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{
			map[string]any{"name": "r-chat", "host": host, "prefix": "/chat/", "kind": "streaming", "timeoutMs": chatTimeoutMs, "targetLatencyMs": 500, "priority": 0, "service": modelSvc, "maxAttempts": 2, "public": false, "sticky": true, "resumable": true, "gapAimMs": 500},
			map[string]any{"name": "r-look", "host": host, "prefix": "/look/", "kind": "idempotent", "timeoutMs": 1200, "targetLatencyMs": 150, "priority": 2, "service": appSvc, "maxAttempts": 2, "public": false},
			map[string]any{"name": "r-book", "host": host, "prefix": "/book/", "kind": "non_idempotent", "timeoutMs": 1200, "targetLatencyMs": 150, "priority": 2, "service": appSvc, "maxAttempts": 1, "public": false},
		},
		"services": []any{
			map[string]any{"name": modelSvc, "healthPath": "/health", "maxConnections": 370, "protocol": "h1", "tls": false,
				"engine": map[string]any{"slots": 64, "kvCapacity": 550405, "kvTokenBytes": 18432, "linkMbps": 280000.0, "moves": true, "backups": true, "stride": 6, "most": 12, "pinMs": 4000.0, "holdMs": 2000.0, "handleS": 5.0, "models": []any{map[string]any{"name": "m"}}}},
			map[string]any{"name": appSvc, "healthPath": "/health", "maxConnections": 110, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "hule930", "apiKeys": []string{goodKey}, "priority": 1, "unit": "token_count", "plainTokens": 200, "ratePerS": 296691, "burst": 296691}},
	}
}
