package waitestimate

// Table and Key name the row of the last estimate, in the owner's partition; its value is a workpb.Waits.
const (
	Table = "waits"
	Key   = "estimate"
)
