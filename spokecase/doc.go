// Package spokecase reads test cases from YAML files.
package spokecase
