// Package spokecheck examines a configuration before it is applied: invalid fields,
// entries that no request can match, limits that contradict each other, and the changes
// against the configuration in force. It does no input or output.
package spokecheck
