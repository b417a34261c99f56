package spill

// classesMax bounds the classes whose sizes are kept.
const classesMax = 1024

// sizeWeight is the weight of a new size in the average.
const sizeWeight = 1.0 / 8

// Sizes holds the mean sizes of requests and responses by class. The zero value is empty.
// It is not safe for concurrent use.
type Sizes struct{ classes map[string]*size }

type size struct{ request, response float64 } // bytes

// Record adds an answered call. Beyond classesMax further classes are ignored.
func (s *Sizes) Record(class string, request, response int) {
	if request <= 0 && response <= 0 {
		return // the shell does not know the sizes
	}
	known := s.classes[class]
	if known == nil {
		if len(s.classes) >= classesMax {
			return
		}
		if s.classes == nil {
			s.classes = make(map[string]*size)
		}
		s.classes[class] = &size{float64(request), float64(response)}
		return
	}
	known.request += sizeWeight * (float64(request) - known.request)
	known.response += sizeWeight * (float64(response) - known.response)
}

// Expect returns the bytes of a call both ways. A request of unknown size, 0, counts as
// the mean one of its class.
func (s *Sizes) Expect(class string, request int) int {
	known := s.classes[class]
	if known == nil {
		return request
	}
	if request <= 0 {
		request = int(known.request)
	}
	return request + int(known.response)
}

// Keep removes the classes that keep does not accept.
func (s *Sizes) Keep(keep func(class string) bool) {
	for class := range s.classes {
		if !keep(class) {
			delete(s.classes, class)
		}
	}
}
