// Package spokescarcity decides which requests are sent to a service whose servers are short:
// those that can be in time first, then those of urgent and cheap routes. It is free of input
// and output; each entry instance decides by itself.
package spokescarcity
