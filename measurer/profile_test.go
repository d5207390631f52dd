package measurer

import (
	"log/slog"
	"testing"
	"time"
)

// BenchmarkOverhead is for profiles of the path through one host.
func BenchmarkOverhead(b *testing.B) {
	for b.Loop() {
		figures, _, err := measureOverhead(b.Context(), Options{Seed: 1, Duration: 8 * time.Second, Logger: slog.New(slog.DiscardHandler)})
		if err != nil {
			b.Fatal(err)
		}
		for _, f := range figures {
			b.ReportMetric(f.Value, f.Name)
		}
	}
}
