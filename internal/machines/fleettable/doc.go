// Package fleettable reads and writes the rows of VMs, pools and waves in the platform's table, each step as one conditional transaction.
package fleettable
