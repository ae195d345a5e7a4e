// Package version contains the version that is built into the binaries.
package version

// Version is the version of this build. The linker sets it (-ldflags -X); it is
// "dev" in other builds.
var Version = "dev"
