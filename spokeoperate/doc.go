// Package spokeoperate implements the operators' API: commands that change the
// configuration, and queries about the running deployment.
package spokeoperate
