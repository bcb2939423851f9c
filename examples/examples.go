// Package examples embeds the users' example declarations and demo deployments.
package examples

import "embed"

// Files holds one folder for each example deployment.
//
//go:embed doi_nho_tech vembanad
var Files embed.FS
