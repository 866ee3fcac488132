// Package explain gathers the log lines of all entries that concern one job, task, VM or refused call, and says in a sentence each what happened.
package explain
