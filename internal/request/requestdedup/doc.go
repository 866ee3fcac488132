// Package requestdedup deduplicates requests by the ids that this process issued, and caches their outcomes.
package requestdedup
