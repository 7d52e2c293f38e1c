// Package manifest holds the routing configuration of the operators: which requests
// go to which services, with their timeouts, retries and limits.
//
// A Manifest is immutable. A request uses the manifest that was in force when it
// arrived until it ends, so that one version applies to all its parts.
package manifest
