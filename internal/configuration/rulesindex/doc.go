// Package rulesindex looks up the queue of a request and the team of a key in one version of the rules.
package rulesindex
