// Package fleet advances the state of VMs, pools and maintenance waves that the table records, by calling the platform's VM actions.
package fleet
