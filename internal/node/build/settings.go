// Package build assembles a node from its parts.
//
// Only this package refers to all implementations: the reducer, the log, the
// metrics, the shell and, through package setup, the decision parts. The other
// packages of a node depend on interfaces, so a part is replaced here or in setup.
package build

import (
	"io"

	"github.com/charmbracelet/log"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/internal/node/shell"
)

// Settings of a node. The caller checks them; this package does not. Addresses
// are "IP:port".
type Settings struct {
	Self      gypsumrail.Instance // Name, Service, Zone and Address; an empty Address means that of the peers port
	Listen    shell.Addresses     // addresses to listen on
	Target    string              // address of the node's own target
	Platform  string              // address of the platform
	Seeds     []string            // addresses of the peers ports of other nodes
	SchemaMax int                 // highest schema version of records; zero means the highest that this program knows

	Log       io.Writer
	LogLevel  log.Level
	LogFormat log.Formatter
}
