// Package spokeadmit decides which requests a full service takes next and
// which it refuses at once. It shares the service fairly among workspaces and
// keeps room for quick requests beside long ones.
package spokeadmit
