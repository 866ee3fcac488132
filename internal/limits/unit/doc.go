// Package unit provides a unit of a team's concurrency limit, which permits one running request or job.
package unit
