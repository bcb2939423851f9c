// Package spokepeer exchanges state between entry instances over JSON-RPC. Each
// instance opens a link to every peer that it reports to. A goroutine per link
// sends heartbeats, so that a slow or unresponsive peer delays no other.
package spokepeer
