// Package spokering passes items between goroutines through bounded queues. A
// full queue rejects an item; it never blocks the producer.
package spokering
