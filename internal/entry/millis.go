package entry

import "time"

func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
