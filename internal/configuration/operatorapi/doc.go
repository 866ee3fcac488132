// Package operatorapi serves the operators' HTTP API for the configuration under /v1/.
package operatorapi
