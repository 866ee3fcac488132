// Package limit enforces each team's concurrency limit across the fleet by dividing the limit's units among the entries.
//
// A unit permits one running request or job. Each team has a row in the table that records a part, which is a number of units, for each entry that holds some. No rewrite of the row raises the sum of the parts above the limit; after a reduction the parts shrink until they fit. An entry admits work only under units of its own part or of a loan from another entry, and units change hands only when nothing can run under them at the former holder.
package limit
