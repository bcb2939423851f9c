// Package spokecase reads the data files of scripted tests.
package spokecase
