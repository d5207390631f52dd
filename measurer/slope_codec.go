package measurer

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/pkg/errors"
)

type slopeJSON struct {
	Name    string       `json:"name"`
	Unit    string       `json:"unit"`
	Size    string       `json:"size"`
	Base    float64      `json:"base"`
	PerUnit float64      `json:"per_unit"`
	Error   float64      `json:"error"`
	Points  [][2]float64 `json:"points"`
	Method  string       `json:"method"`
}

// EncodeSlopes encodes slopes as JSON.
func EncodeSlopes(slopes []Slope) ([]byte, error) {
	encoded := make([]slopeJSON, 0, len(slopes))
	for _, s := range slopes {
		w := slopeJSON{Name: s.Name, Unit: s.Unit, Size: s.Size, Base: s.Intercept, PerUnit: s.PerUnit, Error: s.StdErr, Method: s.Method}
		for _, p := range s.Points {
			w.Points = append(w.Points, [2]float64{p.Size, p.Cost})
		}
		encoded = append(encoded, w)
	}
	content, err := json.MarshalIndent(encoded, "", "  ")
	return append(content, '\n'), errors.WithStack(err)
}

// DecodeSlopes decodes the output of EncodeSlopes.
func DecodeSlopes(content []byte) ([]Slope, error) {
	var encoded []slopeJSON
	if err := json.Unmarshal(content, &encoded); err != nil {
		return nil, errors.Wrap(err, "decode slopes")
	}
	var slopes []Slope
	for _, w := range encoded {
		s := Slope{Name: w.Name, Unit: w.Unit, Size: w.Size, Intercept: w.Base, PerUnit: w.PerUnit, StdErr: w.Error, Method: w.Method}
		for _, p := range w.Points {
			s.Points = append(s.Points, SlopePoint{Size: p[0], Cost: p[1]})
		}
		slopes = append(slopes, s)
	}
	return slopes, nil
}

// WriteSlopes writes each slope as one line of key=value pairs.
func WriteSlopes(w io.Writer, slopes []Slope) error {
	for _, s := range slopes {
		_, err := fmt.Fprintf(w, "slope=%s unit=%q size=%q base=%.6g per_unit=%.6g error=%.3g points=%d\n",
			s.Name, s.Unit, s.Size, s.Intercept, s.PerUnit, s.StdErr, len(s.Points))
		if err != nil {
			return errors.WithStack(err)
		}
	}
	return nil
}
