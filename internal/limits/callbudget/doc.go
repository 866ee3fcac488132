// Package callbudget limits the calls of one process to a shared service to its share of the service's capacity.
package callbudget
