// Package server runs everything that one host does for callers on a platform
// of the operators: it serves requests, tells callers which hosts to use, follows
// the store and the other hosts, and stops in order.
package server
