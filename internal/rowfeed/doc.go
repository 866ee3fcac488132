// Package rowfeed follows the changes of a table of the store through gaps in its history and outages.
package rowfeed
