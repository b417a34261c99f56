// Package build assembles a node from its parts.
//
// It is the only place that knows all implementations: the decision parts, the
// reducer, the log, the metrics and the shell. Everything else depends on the
// interfaces of the root package, so a part is replaced here and nowhere else.
package build

import (
	"io"

	"github.com/charmbracelet/log"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/internal/node/shell"
)

// Settings of a node. They are valid: whoever fills them in checks them.
type Settings struct {
	Self      gypsumrail.Instance // Name, Service, Zone and Address; without Address that of the peers port
	Listen    shell.Addresses
	Target    string
	Platform  string
	Seeds     []string
	SchemaMax int // highest schema version of records; zero for the highest known

	Log       io.Writer
	LogLevel  log.Level
	LogFormat log.Formatter
}
