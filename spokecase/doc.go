// Package spokecase reads test cases from YAML files, serves stand-ins on loopback and finds free
// addresses there.
package spokecase
