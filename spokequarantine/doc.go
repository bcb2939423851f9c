// Package spokequarantine finds the parts of prompts under which backend servers
// crash, from the crashes that all entry instances have seen, and bars the requests
// that contain such a part.
package spokequarantine
