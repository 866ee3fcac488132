// Package waitview follows the owner's estimate of the queueing delay.
package waitview
