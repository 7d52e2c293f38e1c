// Package directory selects the hosts that serve callers and whose addresses callers receive.
package directory
