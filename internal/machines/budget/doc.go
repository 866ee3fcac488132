// Package budget decides whether a VM may be made unavailable within its pool's availability budget.
package budget
