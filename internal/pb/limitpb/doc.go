// Package limitpb holds the generated row of a team's concurrency limit and the service by which entries lend each other its units.
package limitpb
