package keyring_test

import (
	"fmt"
	"runtime"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/configuration/keyring"
	"github.com/fulmarloft/fulmarloft/internal/testbed/bundletest"
	"github.com/fulmarloft/fulmarloft/pkg/bundle"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

func TestTeam(t *testing.T) {
	bd, err := bundle.Parse([]byte(bundletest.Withdraw(bundletest.Text(1, 1, 2, 1, 4), 2)))
	qt.Assert(t, err, qt.IsNil)
	kr := keyring.New(bd)
	for _, tc := range []struct {
		secret, team string
		want         code.Code
	}{
		{bundletest.Secret(0), "team-0", code.OK},
		{bundletest.Secret(1), "team-1", code.OK},
		{bundletest.Secret(2), "", code.KeyWithdrawn},
		{"key-2.guess", "", code.KeyWithdrawn},
		{"key-0.guess", "", code.KeyUnknown},
		{"key-9.secret", "", code.KeyUnknown},
		{"key-0", "", code.KeyUnknown},
		{"", "", code.KeyMissing},
	} {
		team, err := kr.Team(tc.secret)
		qt.Check(t, code.Of(err), qt.Equals, tc.want, qt.Commentf("%s", tc.secret))
		qt.Check(t, team, qt.Equals, tc.team)
	}
}

func BenchmarkTeam(b *testing.B) {
	for _, keys := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprintf("keys=%d", keys), func(b *testing.B) {
			bd, err := bundle.Parse([]byte(bundletest.Text(1, 1, 79, 306, keys)))
			qt.Assert(b, err, qt.IsNil)
			before := heapBytes()
			kr := keyring.New(bd)
			used := heapBytes() - before
			for i := 0; b.Loop(); i++ {
				if _, err := kr.Team(bundletest.Secret(i % keys)); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(used), "heap-bytes")
			runtime.KeepAlive(bd)
		})
	}
}

func heapBytes() int64 {
	runtime.GC()
	ms := runtime.MemStats{}
	runtime.ReadMemStats(&ms)
	return int64(ms.HeapAlloc)
}
