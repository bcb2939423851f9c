// Package spokequarantine finds the requests and the parts of prompts under which
// backend servers crash, from the crashes that all entry instances have seen, and bars
// them.
package spokequarantine
