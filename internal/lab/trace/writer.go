package trace

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/gypsumrail/gypsumrail"
)

// Writer writes a trace line by line. It is not safe for concurrent use.
type Writer struct {
	encoder *json.Encoder
}

// NewWriter writes the header with the current format version and returns a
// writer for the lines after it.
func NewWriter(w io.Writer, header Header) (*Writer, error) {
	header.FormatVersion = FormatVersion
	encoder := json.NewEncoder(w)
	if err := encoder.Encode(&header); err != nil {
		return nil, fmt.Errorf("trace: %w", err)
	}
	return &Writer{encoder: encoder}, nil
}

// Event writes one line of a Node trace.
func (w *Writer) Event(event *gypsumrail.Event) error { return w.encode(event) }

// Line writes one line of a Scenario trace.
func (w *Writer) Line(line Line) error { return w.encode(line) }

func (w *Writer) encode(value any) error {
	if err := w.encoder.Encode(value); err != nil {
		return fmt.Errorf("trace: %w", err)
	}
	return nil
}
