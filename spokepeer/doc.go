// Package spokepeer carries state between entry instances over JSON-RPC. Each
// instance keeps a link to the peers it has to tell; a goroutine for each link
// sends heartbeats, so that a slow or frozen peer delays no other.
package spokepeer
