// Package spokebackend keeps what an entry instance knows of backend servers:
// where they are, what they are doing, how fast they are, and which are
// leaving. Its sources disagree; a server that any source says is leaving gets
// no new work, and own evidence of failure goes before a list that says live.
package spokebackend
