// Package spokelease implements leases, which let one process at a time perform
// a duty. A lease is a row of the table service with a fencing number that only
// increases. Clocks of different processes are never compared: a contender waits
// until the row has stayed unchanged for the whole term by its own clock.
package spokelease
