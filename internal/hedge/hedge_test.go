package hedge_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/hedge"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// fate is what becomes of one try: an answer after some time, or none at all for a negative one.
type fate struct {
	afterMS int64
	err     error
}

func TestDo(t *testing.T) {
	const silent = -1
	doubt, refused := code.TableInDoubt.New("no answer"), code.Conflict.New("refused")
	for _, tc := range []struct {
		name   string
		fates  []fate
		value  int
		err    code.Code
		tookMS int64
	}{
		{"an answer in time", []fate{{50, nil}}, 0, code.OK, 50},
		{"a silent first try", []fate{{silent, nil}, {20, nil}}, 1, code.OK, 320},
		{"the first of two answers", []fate{{350, nil}, {90, nil}}, 0, code.OK, 350},
		{"a failure while another try is under way", []fate{{310, doubt}, {100, nil}}, 1, code.OK, 400},
		{"a final error", []fate{{310, refused}, {100, nil}}, 0, code.Conflict, 310},
		{"a failure alone", []fate{{10, doubt}}, 0, code.TableInDoubt, 10},
		{"silence after some tries", []fate{{silent, nil}, {silent, nil}, {silent, nil}, {5, nil}}, 3, code.OK, 505},
	} {
		synctest.Test(t, func(t *testing.T) {
			ck := clock.New()
			po := hedge.New(ck, 300, 100, func(err error) bool { return code.Of(err) == code.Conflict })
			startMS := ck.Now()
			value, err := hedge.Do(t.Context(), po, func(ctx context.Context, try int) (int, error) {
				ft := tc.fates[min(try, len(tc.fates)-1)]
				if ft.afterMS < 0 {
					<-ctx.Done()
					return try, ctx.Err()
				}
				_ = ck.Sleep(ctx, ft.afterMS)
				return try, ft.err
			})
			qt.Check(t, code.Of(err), qt.Equals, tc.err, qt.Commentf(tc.name))
			qt.Check(t, value, qt.Equals, tc.value, qt.Commentf(tc.name))
			qt.Check(t, ck.Now()-startMS, qt.Equals, tc.tookMS, qt.Commentf(tc.name))
		})
	}
}

func TestDoEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ck := clock.New()
		ctx, cancel := ck.WithTimeout(t.Context(), 1000)
		defer cancel()
		var tries atomic.Int64
		_, err := hedge.Do(ctx, hedge.New(ck, 300, 300, func(error) bool { return false }), func(ctx context.Context, _ int) (int, error) {
			tries.Add(1)
			<-ctx.Done()
			return 0, ctx.Err()
		})
		qt.Assert(t, err, qt.IsNotNil)
		qt.Assert(t, tries.Load(), qt.Equals, int64(4))
	})
}
