// Package peers connects a host with the others: it exchanges the probes that detect
// which hosts are alive, and requests updates of the platform's store from other hosts
// and answers such requests.
package peers
