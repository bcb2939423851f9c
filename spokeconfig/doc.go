// Package spokeconfig holds declarations: what operators want served, for
// whom, and how. A declaration is checked as a whole, cut into items, and
// spread as deltas of items under one revision that only grows.
package spokeconfig
