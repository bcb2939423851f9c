// Package spokeorigin keeps at which version of the servers' software each resumable
// stream began, as only servers of that version can go on with it. The records are in the
// platform's table, so that they outlive all instances. Streams of one version of a
// service, its base, need none.
package spokeorigin
