// Package pollpace decides how often an owner polls VMs, so that polls leave room for commits on a slow network link.
package pollpace
