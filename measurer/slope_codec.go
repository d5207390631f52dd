package measurer

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/pkg/errors"
)

type wireSlope struct {
	Name    string       `json:"name"`
	Unit    string       `json:"unit"`
	Size    string       `json:"size"`
	Base    float64      `json:"base"`
	PerUnit float64      `json:"per_unit"`
	Error   float64      `json:"error"`
	Points  [][2]float64 `json:"points"`
	Method  string       `json:"method"`
}

// EncodeSlopes returns the JSON form of slopes.
func EncodeSlopes(slopes []Slope) ([]byte, error) {
	wire := make([]wireSlope, 0, len(slopes))
	for _, s := range slopes {
		w := wireSlope{Name: s.Name, Unit: s.Unit, Size: s.Size, Base: s.Base, PerUnit: s.PerUnit, Error: s.Error, Method: s.Method}
		for _, p := range s.Points {
			w.Points = append(w.Points, [2]float64{p.Size, p.Cost})
		}
		wire = append(wire, w)
	}
	content, err := json.MarshalIndent(wire, "", "  ")
	return append(content, '\n'), errors.WithStack(err)
}

// DecodeSlopes reads the form written by EncodeSlopes.
func DecodeSlopes(content []byte) ([]Slope, error) {
	var wire []wireSlope
	if err := json.Unmarshal(content, &wire); err != nil {
		return nil, errors.Wrap(err, "decode slopes")
	}
	var slopes []Slope
	for _, w := range wire {
		s := Slope{Name: w.Name, Unit: w.Unit, Size: w.Size, Base: w.Base, PerUnit: w.PerUnit, Error: w.Error, Method: w.Method}
		for _, p := range w.Points {
			s.Points = append(s.Points, SlopePoint{Size: p[0], Cost: p[1]})
		}
		slopes = append(slopes, s)
	}
	return slopes, nil
}

// WriteSlopes writes one line of key=value pairs per slope.
func WriteSlopes(w io.Writer, slopes []Slope) error {
	for _, s := range slopes {
		_, err := fmt.Fprintf(w, "slope=%s unit=%q size=%q base=%.6g per_unit=%.6g error=%.3g points=%d\n",
			s.Name, s.Unit, s.Size, s.Base, s.PerUnit, s.Error, len(s.Points))
		if err != nil {
			return errors.WithStack(err)
		}
	}
	return nil
}
