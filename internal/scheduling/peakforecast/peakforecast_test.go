package peakforecast_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/scheduling/peakforecast"
)

const tickMS = 200

// jobs returns the numbers of jobs at the given rates if each job brings ten cores of work per tick.
func jobs(rates map[string]int64) map[string]int {
	out := map[string]int{}
	for service, rate := range rates {
		out[service] = int(rate / 10_000)
	}
	return out
}

// observePeaks feeds the forecaster with four services that peak one after the other, each for peakMS, from time 0 up to endMS.
func observePeaks(fc *peakforecast.Forecaster, peakMS, endMS int64) {
	for nowMS := int64(0); nowMS < endMS; nowMS += tickMS {
		rates := map[string]int64{"a": 10_000, "b": 10_000, "c": 10_000, "d": 10_000}
		rates[[]string{"a", "b", "c", "d"}[nowMS/peakMS%4]] = 400_000
		fc.Observe(nowMS, tickMS, rates, jobs(rates))
	}
}

func TestNextPeak(t *testing.T) {
	for _, tc := range []struct {
		name    string
		nowMS   int64
		service string
		ok      bool
	}{
		{"two services may be next", 7_000, "", false},
		{"the last one without a peak", 11_000, "d", true},
		{"the first one again", 14_500, "a", true},
		{"too early in the peak", 17_500, "", false},
		{"the second one again", 19_000, "b", true},
		{"and in the third round", 35_000, "b", true},
	} {
		fc := peakforecast.New()
		observePeaks(fc, 4000, tc.nowMS)
		service, rate, ok := fc.Next(tc.nowMS)
		qt.Check(t, ok, qt.Equals, tc.ok, qt.Commentf(tc.name))
		if tc.ok {
			qt.Check(t, service, qt.Equals, tc.service, qt.Commentf(tc.name))
			qt.Check(t, rate > 250_000, qt.IsTrue, qt.Commentf("%s: expected rate %d", tc.name, rate))
		}
	}
}

func TestSteadyDemandHasNoPeaks(t *testing.T) {
	fc := peakforecast.New()
	for nowMS := int64(0); nowMS < 60_000; nowMS += tickMS {
		rates := map[string]int64{"a": 100_000, "b": 100_000, "c": 90_000}
		fc.Observe(nowMS, tickMS, rates, jobs(rates))
		_, _, ok := fc.Next(nowMS)
		qt.Assert(t, ok, qt.IsFalse)
	}
}

func TestIrregularPeaksAreNotForecast(t *testing.T) {
	fc := peakforecast.New()
	nowMS := int64(0)
	for at, forMS := range []int64{2000, 7000, 3000, 9000} {
		for range forMS / tickMS {
			rates := map[string]int64{"a": 10_000, "b": 10_000, "c": 10_000}
			rates[[]string{"a", "b", "c"}[at%3]] = 300_000
			fc.Observe(nowMS, tickMS, rates, jobs(rates))
			nowMS += tickMS
		}
		_, _, ok := fc.Next(nowMS)
		qt.Assert(t, ok, qt.IsFalse)
	}
}

// The first peak of a service must be recognized soon after it begins, with the rate that the peaks of the other services suggest.
func TestFirstPeakIsForecastFromOthers(t *testing.T) {
	fc := peakforecast.New()
	observePeaks(fc, 4000, 4000)
	_, _, ok := fc.Rising(4000)
	qt.Assert(t, ok, qt.IsFalse)
	for nowMS := int64(4000); nowMS < 5600; nowMS += tickMS {
		rates := map[string]int64{"a": 10_000, "b": 150_000, "c": 10_000, "d": 10_000}
		fc.Observe(nowMS, tickMS, rates, jobs(rates))
	}
	service, rate, ok := fc.Rising(5600)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, service, qt.Equals, "b")
	qt.Assert(t, rate > 300_000, qt.IsTrue, qt.Commentf("expected rate %d", rate))
	_, _, ok = fc.Rising(8000)
	qt.Assert(t, ok, qt.IsFalse)
}

func TestOneLargeJobIsNoPeak(t *testing.T) {
	fc := peakforecast.New()
	observePeaks(fc, 4000, 4000)
	fc.Observe(4200, tickMS, map[string]int64{"a": 0, "b": 2_000_000}, map[string]int{"b": 1})
	for nowMS := int64(4400); nowMS < 6000; nowMS += tickMS {
		fc.Observe(nowMS, tickMS, map[string]int64{"a": 0, "b": 0}, nil)
	}
	qt.Assert(t, fc.HasPeaked("b"), qt.IsFalse)
}

// Guards against machines that are ordered a second after the onset of a peak, since the peak before it still seems to go on.
func TestPeakIsRecognizedSoonAfterTheOneBeforeIt(t *testing.T) {
	const onsetMS = 4000
	fc := peakforecast.New()
	observePeaks(fc, onsetMS, onsetMS)
	service := ""
	nowMS := int64(onsetMS)
	for ; service != "b" && nowMS < 2*onsetMS; nowMS += tickMS {
		rates := map[string]int64{"a": 10_000, "b": 400_000, "c": 10_000, "d": 10_000}
		fc.Observe(nowMS, tickMS, rates, jobs(rates))
		service, _, _ = fc.Rising(nowMS)
	}
	qt.Assert(t, nowMS-onsetMS <= 800, qt.IsTrue, qt.Commentf("recognized %d ms after its onset", nowMS-onsetMS))
}
