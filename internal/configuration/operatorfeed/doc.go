// Package operatorfeed follows the rows that operators write to the store: the rules and the maintenance waves.
package operatorfeed
