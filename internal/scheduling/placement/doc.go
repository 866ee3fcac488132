// Package placement selects a worker for a job and spreads each team's jobs over zones and racks, without scanning all workers.
package placement
