package trace

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/record"
)

// Limits of a trace. A line must be able to hold inline records; a platform value
// is at most 1 MB. The file size is enough for ten seconds of a node that serves
// 10,000 calls a second, which writes about 100 MB of events in that time.
const (
	LineBytesMax     = 2 << 20
	FileBytesMax     = 128 << 20
	ScenarioLinesMax = 10_000
)

// Error is an error in a trace, with the file and the line.
type Error struct {
	Name string // of the file
	Line int    // from 1
	Err  error
}

// Error returns the message in the form FILE:LINE: TEXT.
func (e *Error) Error() string { return fmt.Sprintf("%s:%d: %v", e.Name, e.Line, e.Err) }

// Unwrap returns the error without file and line.
func (e *Error) Unwrap() error { return e.Err }

// Loader returns the content of the record set at a path relative to the trace.
type Loader func(path string) ([]byte, error)

// Open reads a trace file and the record set that it names.
func Open(path string) (*File, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("trace: %w", err)
	}
	defer f.Close() //nolint:errcheck // Nothing was written.
	return Read(f, path, func(records string) ([]byte, error) {
		recordsFile, err := os.Open(filepath.Join(filepath.Dir(path), records))
		if err != nil {
			return nil, err
		}
		defer recordsFile.Close() //nolint:errcheck // Nothing was written.
		return io.ReadAll(io.LimitReader(recordsFile, record.SizeMax+1))
	})
}

// Read reads and checks a trace. Its errors have type *Error, with the given name
// and the line. The loader is called with the RecordsFile of the header, if it has
// one.
func Read(r io.Reader, name string, load Loader) (*File, error) {
	limited := &io.LimitedReader{R: r, N: FileBytesMax + 1}
	scanner := bufio.NewScanner(limited)
	scanner.Buffer(make([]byte, 0, 64<<10), LineBytesMax)
	file := &File{}
	line := 0
	lineError := func(err error) error { return &Error{Name: name, Line: line, Err: err} }
	for scanner.Scan() {
		line++
		if limited.N <= 0 {
			return nil, lineError(fmt.Errorf("the file is larger than %d bytes", FileBytesMax))
		}
		if err := file.readLine(line, scanner.Bytes(), load); err != nil {
			return nil, lineError(err)
		}
	}
	if err := scanner.Err(); err != nil {
		line++
		if errors.Is(err, bufio.ErrTooLong) {
			err = fmt.Errorf("the line is longer than %d bytes", LineBytesMax)
		}
		return nil, lineError(err)
	}
	if line == 0 {
		line = 1
		return nil, lineError(errors.New("the header is missing"))
	}
	if err := file.checkWorkload(); err != nil {
		return nil, lineError(err)
	}
	return file, nil
}

func (f *File) readLine(line int, text []byte, load Loader) error {
	if line == 1 {
		return f.readHeader(text, load)
	}
	if f.Header.Kind == KindNode {
		var event gypsumrail.Event
		if err := decode(text, &event); err != nil {
			return err
		}
		if !knownEvent(event.Kind) {
			return fmt.Errorf("unknown kind of event %q", event.Kind)
		}
		f.Events = append(f.Events, event)
		return nil
	}
	if line > ScenarioLinesMax {
		return fmt.Errorf("a scenario has at most %d lines", ScenarioLinesMax)
	}
	var l Line
	if err := decode(text, &l); err != nil {
		return err
	}
	return f.addLine(&l)
}

func (f *File) readHeader(text []byte, load Loader) error {
	// The version is checked first: a newer format may have fields that are unknown here.
	var version struct{ FormatVersion int }
	if err := json.Unmarshal(text, &version); err != nil {
		return err
	}
	if version.FormatVersion != FormatVersion {
		return fmt.Errorf("field FormatVersion is %d; this version reads %d", version.FormatVersion, FormatVersion)
	}
	if err := decode(text, &f.Header); err != nil {
		return err
	}
	if err := f.readRecords(load); err != nil {
		return err
	}
	return f.checkHeader()
}

func (f *File) readRecords(load Loader) error {
	h := &f.Header
	source, content := "Records", []byte(h.Records)
	if h.RecordsFile != "" {
		if h.Records != nil {
			return errors.New("the header has both Records and RecordsFile")
		}
		var err error
		source = h.RecordsFile
		if content, err = load(h.RecordsFile); err != nil {
			return fmt.Errorf("field RecordsFile: %w", err)
		}
	}
	if content == nil {
		return nil
	}
	records, err := record.Parse(source, content, record.Options{})
	f.Records = records
	return err
}

// decode parses exactly one JSON value. It rejects unknown fields and text after
// the value.
func decode(text []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		if errors.Is(err, io.EOF) {
			return errors.New("the line is empty")
		}
		return err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errors.New("the line has text after its value")
	}
	return nil
}
