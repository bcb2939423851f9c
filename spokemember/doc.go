// Package spokemember knows the other entry instances: which are live, what
// each has told last, and to whom this instance has to keep a link. Within a
// data centre every instance is linked to every other; between two data
// centres a few links carry a summary of each.
package spokemember
