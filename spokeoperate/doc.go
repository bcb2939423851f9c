// Package spokeoperate serves operators: commands that change what is wanted,
// and queries that tell what runs where and why.
package spokeoperate
