package feed

import (
	"fmt"
	"sync"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/internal/node/peer"
)

// namesMax bounds the values that a store keeps.
const namesMax = 4

// Store keeps the content of the values in force, compressed for peers. It is
// safe for concurrent use.
type Store struct {
	mu      sync.Mutex
	offered map[gypsumrail.ValueName]Value // both with compressed content
	force   map[gypsumrail.ValueName]Value
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{offered: make(map[gypsumrail.ValueName]Value), force: make(map[gypsumrail.ValueName]Value)}
}

// Offer keeps a content until Adopt or the next offer of the name. It compresses
// the content, which takes milliseconds, so that Adopt takes none.
func (s *Store) Offer(value Value) error {
	compressed, err := peer.Compress(value.Content)
	if err != nil {
		return fmt.Errorf("offer %s: %w", value.Version.Name, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.offered[value.Version.Name]; known || len(s.offered) < namesMax {
		s.offered[value.Version.Name] = Value{value.Version, compressed}
	}
	return nil
}

// Adopt puts the offered content of a version in force and reports whether it
// was offered.
func (s *Store) Adopt(version gypsumrail.ValueVersion) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	value, ok := s.offered[version.Name]
	if !ok || value.Version != version {
		return false
	}
	delete(s.offered, version.Name)
	s.force[version.Name] = value
	return true
}

// Current returns the version in force with its compressed content.
func (s *Store) Current(name gypsumrail.ValueName) (Value, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	value, ok := s.force[name]
	return value, ok
}

// Revision returns the revision in force, or zero.
func (s *Store) Revision(name gypsumrail.ValueName) gypsumrail.Revision {
	value, _ := s.Current(name)
	return value.Version.Revision
}
