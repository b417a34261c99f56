//go:build tools

package gypsumrail

// These imports keep the libraries that the packages share in go.mod while the
// packages that use them are being written.
import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/VictoriaMetrics/metrics"
	_ "github.com/alexflint/go-arg"
	_ "github.com/charmbracelet/log"
	_ "github.com/gin-gonic/gin"
	_ "github.com/google/btree"
	_ "github.com/twitchtv/twirp"
	_ "go.uber.org/fx"
	_ "golang.org/x/sync/errgroup"
	_ "google.golang.org/protobuf/proto"
	_ "pgregory.net/rapid"
)
