// Package requestmemory deduplicates requests by the ids that this process issued, and caches their outcomes.
package requestmemory
