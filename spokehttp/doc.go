// Package spokehttp holds the generic handlers and codecs that the product and
// its stand-ins share for JSON over HTTP, and how servers run.
package spokehttp
