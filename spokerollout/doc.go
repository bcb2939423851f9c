// Package spokerollout decides how a service's requests are moved to servers of another
// software version that an operator has ordered: how many of them go there, whether the
// version is good or bad, and what the status row says. It does no input or output.
package spokerollout
