// Package retrybudget limits retries to a small fraction of the requests.
package retrybudget
