// Package requestid provides request ids, which contain the entry that issued them and the time of issue.
package requestid
