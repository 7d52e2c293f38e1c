// Package admission limits the number of queries that a host has in flight at once.
package admission
