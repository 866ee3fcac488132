// Package quarantine distinguishes failing workers from poisonous jobs, which fail on any worker.
package quarantine
