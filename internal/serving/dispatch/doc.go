// Package dispatch decides how many requests a host has in flight to one target, and which
// of the requests that wait is sent next. It does no input or output.
package dispatch
