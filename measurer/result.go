package measurer

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"math"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Options are the parameters of a measure that the command line sets.
type Options struct {
	// Seed makes load and faults reproducible.
	Seed uint64
	// Duration replaces the measure's default duration of its main phase unless
	// it is 0.
	Duration time.Duration
	// Logger receives the log lines of hosts and emulators.
	Logger *slog.Logger
}

// duration returns the duration of the main phase.
func (o Options) duration(defaultDuration time.Duration) time.Duration {
	if o.Duration > 0 {
		return o.Duration
	}
	return defaultDuration
}

// A Comparison is the side of its target on which a figure must lie.
type Comparison string

// The comparisons of targets.
const (
	AtMost  Comparison = "<="
	AtLeast Comparison = ">="
)

// A Figure is one number of a measure.
type Figure struct {
	// Name is in snake case; that of a quantity with a unit ends in the unit.
	Name  string
	Value float64
	// Baseline is the same figure of the naive baseline in the same run. It is
	// set if HasBaseline is.
	Baseline    float64
	HasBaseline bool
	// Target is the value that Value is compared with, if Comparison is not empty.
	Comparison Comparison
	Target     float64
}

// Met reports whether the figure meets its target. NaN never does.
func (f Figure) Met() bool {
	switch f.Comparison {
	case AtMost:
		return f.Value <= f.Target
	case AtLeast:
		return f.Value >= f.Target
	default:
		return !math.IsNaN(f.Value)
	}
}

// WithBaseline returns a copy of f with the value of the baseline.
func (f Figure) WithBaseline(value float64) Figure {
	f.Baseline, f.HasBaseline = value, true
	return f
}

// NewFigure returns a figure with a target.
func NewFigure(name string, value float64, comparison Comparison, target float64) Figure {
	return Figure{Name: name, Value: value, Comparison: comparison, Target: target}
}

// Info returns an informational figure, which has no target.
func Info(name string, value float64) Figure { return Figure{Name: name, Value: value} }

// A Series holds the values of a quantity over time, for a plot.
type Series struct {
	Name string
	// Unit labels the vertical axis.
	Unit   string
	Points []Point
}

// A Point is one value of a Series. At is relative to the start of the measure.
type Point struct {
	At    time.Duration
	Value float64
}

// A Result is the outcome of a measure.
type Result struct {
	Measure string
	Seed    uint64
	Elapsed time.Duration
	Figures []Figure
	Series  []Series
}

// TargetsMet reports whether there are figures and every one meets its target.
func (r Result) TargetsMet() bool {
	for _, f := range r.Figures {
		if !f.Met() {
			return false
		}
	}
	return len(r.Figures) > 0
}

// WriteText writes the result as one line of key=value pairs.
func (r Result) WriteText(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "measure=%s seed=%d", r.Measure, r.Seed)
	for _, f := range r.Figures {
		fmt.Fprintf(&b, " %s=%.6g", f.Name, f.Value)
		if f.HasBaseline {
			fmt.Fprintf(&b, " baseline_%s=%.6g", f.Name, f.Baseline)
		}
		if f.Comparison != "" {
			fmt.Fprintf(&b, " target_%s=%q", f.Name, fmt.Sprintf("%s %.6g", f.Comparison, f.Target))
		}
	}
	fmt.Fprintf(&b, " elapsed=%v met=%v\n", r.Elapsed.Round(time.Millisecond), r.TargetsMet())
	_, err := io.WriteString(w, b.String())
	return errors.WithStack(err)
}

type resultJSON struct {
	Measure string       `json:"measure"`
	Seed    uint64       `json:"seed"`
	Elapsed string       `json:"elapsed"`
	Figures []figureJSON `json:"figures"`
	Met     bool         `json:"met"`
}

type figureJSON struct {
	Name     string   `json:"name"`
	Value    float64  `json:"value"`
	Baseline *float64 `json:"baseline,omitempty"`
	Target   string   `json:"target,omitempty"`
	Met      bool     `json:"met"`
}

// WriteJSON writes the result as one JSON object on a line.
func (r Result) WriteJSON(w io.Writer) error {
	encoded := resultJSON{Measure: r.Measure, Seed: r.Seed, Elapsed: r.Elapsed.String(), Met: r.TargetsMet()}
	for _, f := range r.Figures {
		figure := figureJSON{Name: f.Name, Value: finiteOrMax(f.Value), Met: f.Met()}
		if f.HasBaseline {
			baseline := finiteOrMax(f.Baseline)
			figure.Baseline = &baseline
		}
		if f.Comparison != "" {
			figure.Target = fmt.Sprintf("%s %.6g", f.Comparison, f.Target)
		}
		encoded.Figures = append(encoded.Figures, figure)
	}
	return errors.WithStack(json.NewEncoder(w).Encode(encoded))
}

// finiteOrMax replaces NaN and infinities, which JSON cannot represent, by the
// largest finite number.
func finiteOrMax(v float64) float64 {
	if math.IsNaN(v) || math.IsInf(v, 0) {
		return math.MaxFloat64
	}
	return v
}

// A Measure is one measurement that can be run by its name.
type Measure struct {
	Name string
	// Description is a one-line description of what is measured.
	Description string
	// Run takes the measurement. It returns an error only if the measurement
	// could not be taken at all; a missed target is no error.
	Run func(ctx context.Context, options Options) ([]Figure, []Series, error)
}

// Execute runs the measure and returns its result.
func (m Measure) Execute(ctx context.Context, options Options) (Result, error) {
	start := time.Now()
	figures, series, err := m.Run(ctx, options)
	return Result{
		Measure: m.Name, Seed: options.Seed, Elapsed: time.Since(start), Figures: figures, Series: series,
	}, errors.WithMessage(err, m.Name)
}
