// Package spokeconfig holds the declared configuration: the services and
// workspaces of a deployment and how requests are routed. A declaration is
// validated as a whole, split into items and distributed as deltas of items,
// under revisions that only grow.
package spokeconfig
