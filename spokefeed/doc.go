// Package spokefeed keeps a copy of a table that others write, by its feed of
// changes. It survives lost histories and outages, and does not believe that
// rows are gone that only lapsed while the table was away.
package spokefeed
