// Package budget bounds the extra load that retries and hedges put on targets
// to a fraction of the first requests.
package budget
