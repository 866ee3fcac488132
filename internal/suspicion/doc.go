// Package suspicion tells a VM that fails what it starts from jobs that fail everywhere.
package suspicion
