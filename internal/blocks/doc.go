// Package blocks splits text into blocks of whole lines.
package blocks
