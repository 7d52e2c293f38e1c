// Package exchange is an HTTP/1.1 client for targets with a connection pool. It
// validates answers strictly: a connection whose state is uncertain is closed, and
// the outcome says whether the request may have run.
package exchange
