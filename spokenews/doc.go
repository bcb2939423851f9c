// Package spokenews orders the changes of what entry instances tell each other on their
// links.
package spokenews
