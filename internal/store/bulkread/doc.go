// Package bulkread reads whole partitions of the row store in pages that a slow network link carries beside other calls.
package bulkread
