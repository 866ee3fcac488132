package intake

import (
	"fmt"
	"hash/fnv"
	"strconv"
	"strings"
)

// partKeyFields is the number of fields in the key of a part: a hash, the job's id and the part's number.
const partKeyFields = 3

// PartKey returns the key of the row that holds a part of a job's progress. It begins with a hash, so that the rows of a large job spread over the table, which is read in ranges of keys.
func PartKey(id string, part int64) string {
	name := id + "." + strconv.FormatInt(part, 10)
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(name))
	return fmt.Sprintf("%016x.%s", sum.Sum64(), name)
}

// PartJob returns the id of the job to which a PartKey belongs, and false for any other key.
func PartJob(key string) (string, bool) {
	fields := strings.Split(key, ".")
	if len(fields) != partKeyFields {
		return "", false
	}
	return fields[1], true
}
