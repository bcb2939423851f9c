// Package spokehttp holds what the product and its stand-ins share for JSON over
// HTTP: clients, dialers, handlers and codecs.
package spokehttp
