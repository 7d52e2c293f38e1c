// Package peers connects a host with the others: it carries the probes by which
// hosts follow which of them are alive, and lets a host ask another what it
// knows of the platform's store.
package peers
