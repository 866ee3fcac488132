package blocks

import "bytes"

// Split splits text before each line for which startsBlock returns true; the concatenated blocks equal the text.
func Split(raw []byte, startsBlock func(line []byte) bool) [][]byte {
	var list [][]byte
	from, at := 0, 0
	for line := range bytes.Lines(raw) {
		if at > from && startsBlock(line) {
			list = append(list, raw[from:at])
			from = at
		}
		at += len(line)
	}
	if at > from {
		list = append(list, raw[from:at])
	}
	return list
}
