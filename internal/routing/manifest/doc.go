// Package manifest holds what the operators want served: which requests go to
// which services, within which time and how often they may be repeated.
//
// A Manifest does not change once it is built. A request keeps the one that was
// in force when it arrived, so that all its parts come from one version.
package manifest
