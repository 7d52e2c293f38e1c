// Package exchange sends requests to targets over connections that it keeps,
// and reads the answers strictly: a connection on which anything is in doubt is
// closed, and the outcome says whether the request can have run.
package exchange
