// Package cluster runs the agent by which an entry takes part in group membership, in the replication of the configuration and in the leases that allow keyed work.
package cluster
