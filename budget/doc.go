// Package budget limits the additional load that retries and hedges put on targets to a
// fraction of the initial requests.
package budget
