package reporter

import (
	"fmt"
	"io"
	"sort"
	"strings"

	gometrics "github.com/rcrowley/go-metrics"
)

// quantiles holds the quantiles that are reported for each histogram.
var quantiles = []float64{0.5, 0.9, 0.99}

// WriteMetrics writes the metrics of a registry, sorted by name, in the text
// exposition format that monitoring systems read.
func WriteMetrics(out io.Writer, registry gometrics.Registry) {
	var names []string
	registry.Each(func(name string, _ interface{}) { names = append(names, name) })
	sort.Strings(names)
	for _, name := range names {
		writeMetric(out, name, registry.Get(name))
	}
}

func writeMetric(out io.Writer, name string, metric interface{}) {
	exposedName := "endiveturn_" + strings.NewReplacer(".", "_", "-", "_").Replace(name)
	switch m := metric.(type) {
	case gometrics.Counter:
		fmt.Fprintf(out, "# TYPE %s counter\n%s %d\n", exposedName, exposedName, m.Count())
	case gometrics.Gauge:
		fmt.Fprintf(out, "# TYPE %s gauge\n%s %d\n", exposedName, exposedName, m.Value())
	case gometrics.GaugeFloat64:
		fmt.Fprintf(out, "# TYPE %s gauge\n%s %g\n", exposedName, exposedName, m.Value())
	case gometrics.Histogram:
		s := m.Snapshot()
		fmt.Fprintf(out, "# TYPE %s summary\n", exposedName)
		for _, q := range quantiles {
			fmt.Fprintf(out, "%s{quantile=\"%g\"} %g\n", exposedName, q, s.Percentile(q))
		}
		fmt.Fprintf(out, "%s_sum %d\n%s_count %d\n", exposedName, s.Sum(), exposedName, s.Count())
	}
}
