// Package spokeforecast models how fast model engines work: how long each server takes
// compared with the others of its service, from the times between the events of its
// answers and from what it reports. It is free of input and output.
package spokeforecast
