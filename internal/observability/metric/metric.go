package metric

import (
	"io"
	"sort"
	"strings"

	"github.com/rcrowley/go-metrics"
)

// Registry holds the metrics of one process. A name consists of parts joined by dots and must not contain a secret key.
type Registry struct {
	reg metrics.Registry
}

// Parameters of the exponentially decaying sample behind each histogram.
const (
	reservoirSize = 1028
	decayAlpha    = 0.015
)

// New returns an empty registry.
func New() *Registry {
	return &Registry{reg: metrics.NewRegistry()}
}

// Count adds by to a counter.
func (rg *Registry) Count(by int64, parts ...string) {
	metrics.GetOrRegisterCounter(strings.Join(parts, "."), rg.reg).Inc(by)
}

// Set sets a gauge.
func (rg *Registry) Set(val int64, parts ...string) {
	metrics.GetOrRegisterGauge(strings.Join(parts, "."), rg.reg).Update(val)
}

// Observe adds a value to a histogram. Names of durations end in their unit.
func (rg *Registry) Observe(val int64, parts ...string) {
	name := strings.Join(parts, ".")
	hg := rg.reg.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(reservoirSize, decayAlpha))
	})
	if got, ok := hg.(metrics.Histogram); ok {
		got.Update(val)
	}
}

// Counter returns the value of a counter, or 0 if it does not exist.
func (rg *Registry) Counter(parts ...string) int64 {
	if got, ok := rg.reg.Get(strings.Join(parts, ".")).(metrics.Counter); ok {
		return got.Count()
	}
	return 0
}

// Names returns the names of all metrics in alphabetical order.
func (rg *Registry) Names() []string {
	var names []string
	rg.reg.Each(func(name string, _ any) { names = append(names, name) })
	sort.Strings(names)
	return names
}

// WriteText writes all metrics as lines of text.
func (rg *Registry) WriteText(out io.Writer) {
	metrics.WriteOnce(rg.reg, out)
}

// WriteJSON writes all metrics as one JSON object.
func (rg *Registry) WriteJSON(out io.Writer) {
	metrics.WriteJSONOnce(rg.reg, out)
}
