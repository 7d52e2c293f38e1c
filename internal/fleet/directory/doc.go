// Package directory chooses the hosts that a caller is told to use.
package directory
