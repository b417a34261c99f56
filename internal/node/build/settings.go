// Package build assembles a node from its parts.
//
// Only this package refers to all implementations: the decision parts, the
// reducer, the log, the metrics and the shell. All other packages depend on the
// interfaces of the root package, so a part is replaced here only.
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
	Listen    shell.Addresses
	Target    string   // address of the node's own target
	Platform  string   // address of the platform
	Seeds     []string // addresses of the peers ports of other nodes
	SchemaMax int      // highest schema version of records; zero for the highest known

	Log       io.Writer
	LogLevel  log.Level
	LogFormat log.Formatter
}
