// Package examples holds the declarations and demo deployments of the users,
// as files to read and as an embedded file system.
package examples

import "embed"

// Files are the example deployments, a folder for each.
//
//go:embed doi_nho_tech vembanad
var Files embed.FS
