// Package server runs one host on a platform of the operators: it serves requests of
// callers, returns the addresses of the hosts that callers should use, watches the
// store and the other hosts, and shuts down gracefully.
package server
