// Package trial runs a whole deployment in one process over loopback: the
// stand-ins for store and targets, some daemons, and callers. The demo, the
// measurements and the tests of the whole path are made with it.
package trial
