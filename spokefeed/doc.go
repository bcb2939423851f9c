// Package spokefeed keeps a copy of a table that other processes write, by
// polling its feed of changes. It recovers from lost change histories and from
// outages of the table. Rows that merely expired during an outage are kept
// until their owners have had time to write them again.
package spokefeed
