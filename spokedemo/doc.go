// Package spokedemo runs a whole deployment in one process: the entry
// instances and small stand-ins for everything around them.
package spokedemo
