// Package operatorfeed follows what the operators write to the store: the rules and the maintenance waves.
package operatorfeed
