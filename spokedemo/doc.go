// Package spokedemo runs a whole deployment in one process: the entry
// instances, and stand-ins for the backend servers and the platform's services.
package spokedemo
