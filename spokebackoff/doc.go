// Package spokebackoff decides when refused callers come back. It spreads them over the
// time in which room comes back, those of urgent and cheap routes first, within the time
// for which callers honour a Retry-After.
package spokebackoff
