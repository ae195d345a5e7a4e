// Package version holds the version stamped into the binaries.
package version

// Version is set by the linker.
var Version = "dev"
