// Package spokecase reads test cases from YAML files and serves stand-ins on loopback.
package spokecase
