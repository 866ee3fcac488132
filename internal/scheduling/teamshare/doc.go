// Package teamshare tells how far each team's recent use of a pool is above its weighted fair share.
package teamshare
