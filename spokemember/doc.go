// Package spokemember keeps this instance's view of the other entry instances:
// which are live, what each has last reported, and to which of them links are
// kept. Within a data centre every instance is linked to every other. Between
// two data centres a few gateways exchange a summary of each.
package spokemember
