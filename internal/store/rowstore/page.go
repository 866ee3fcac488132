package rowstore

// Page is the result of one read or feed call.
type Page struct {
	rows    []Row
	more    bool
	version int64
}

// NewPage returns a page of rows; more reports whether further rows follow, and version is the store's newest version at the time of the read.
func NewPage(list []Row, more bool, version int64) Page {
	return Page{rows: list, more: more, version: version}
}

// Rows returns the rows in ascending order of keys, or of versions for a feed.
func (pg Page) Rows() []Row { return pg.rows }

// More reports whether further rows follow this page.
func (pg Page) More() bool { return pg.more }

// Version returns the store's newest version at the time of the read.
func (pg Page) Version() int64 { return pg.version }
