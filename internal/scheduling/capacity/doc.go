// Package capacity plans where spare capacity goes when the queues of the pools peak one after the other: which VMs move between pools, or which slots of spare VMs are lent.
package capacity
