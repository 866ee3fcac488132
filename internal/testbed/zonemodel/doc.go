// Package zonemodel simulates the queues, entries and endpoints of one availability zone, to compare strategies of sharing endpoint slots. It allocates slots with package slot, the code that real entries run.
package zonemodel
