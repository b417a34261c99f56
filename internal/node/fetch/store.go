package fetch

import (
	"fmt"
	"sync"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/internal/node/peer"
)

// valuesMax bounds the number of values for which a store holds an offer.
const valuesMax = 4

// Store holds the content of the values in force, compressed as peers pull it. It
// is safe for concurrent use.
type Store struct {
	mu      sync.Mutex
	offered map[gypsumrail.ValueName]Value // not yet adopted; content is compressed
	inForce map[gypsumrail.ValueName]Value // adopted; content is compressed
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{offered: make(map[gypsumrail.ValueName]Value), inForce: make(map[gypsumrail.ValueName]Value)}
}

// Offer stores a version until Adopt or the next Offer of the same name. It compresses
// the content, which takes milliseconds, so that Adopt does not have to. It returns an
// error only if compression fails.
func (s *Store) Offer(value Value) error {
	if value.Encode == nil {
		compressed, err := peer.Compress(value.Content)
		if err != nil {
			return fmt.Errorf("offer %s: %w", value.Version.Name, err)
		}
		value.Content = compressed
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.offered[value.Version.Name]; known || len(s.offered) < valuesMax {
		s.offered[value.Version.Name] = value
	}
	return nil
}

// Adopt puts an offered version in force. It returns false if exactly this version was
// not offered last.
func (s *Store) Adopt(version gypsumrail.ValueVersion) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	value, ok := s.offered[version.Name]
	if !ok || value.Version != version {
		return false
	}
	delete(s.offered, version.Name)
	s.inForce[version.Name] = value
	return true
}

// Current returns the version in force with its compressed content, or false if
// none is in force.
func (s *Store) Current(name gypsumrail.ValueName) (Value, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	value, ok := s.inForce[name]
	return value, ok
}

// Revision returns the revision in force, or zero if there is none.
func (s *Store) Revision(name gypsumrail.ValueName) gypsumrail.Revision {
	value, _ := s.Current(name)
	return value.Version.Revision
}
