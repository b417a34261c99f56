package verbs

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/gypsumrail/gypsumrail/internal/node/admin"
	"github.com/gypsumrail/gypsumrail/internal/node/wire"
)

type statusArgs struct {
	Address string `arg:"positional,env:GYPSUMRAIL_ADDRESS" placeholder:"ADDRESS" help:"IP address and port of the admin endpoint (required)"`
	JSON    bool   `arg:"--json,env:GYPSUMRAIL_JSON" help:"print JSON"`
}

// Description returns the text at the top of the help output.
func (statusArgs) Description() string {
	return "Shows what a node holds in force and why: records, limits, upstreams, refusals.\n" +
		"Exit code 0: the node answered, whatever its state; 1: it did not; 2: wrong usage."
}

// statusTimeout is the timeout of a status request. An operator would rather try
// again than wait longer.
const statusTimeout = 5 * time.Second

// statusPlan holds the validated settings of status.
type statusPlan struct {
	client *admin.Client
	json   bool
}

func runStatus(args []string, out, errOut io.Writer) int {
	var settings statusArgs
	if code, ok := parseArgs("status", &settings, args, out, errOut); !ok {
		return code
	}
	plan, errs := buildStatus(settings)
	if len(errs) > 0 {
		return errs.write("status", errOut)
	}
	if err := plan.run(out); err != nil {
		fmt.Fprintf(errOut, "gypsumrail status: %v\n", err)
		return ExitNotMet
	}
	return ExitOK
}

func buildStatus(settings statusArgs) (statusPlan, settingErrors) {
	var errs settingErrors
	errs.address(settings.Address)
	return statusPlan{client: admin.NewClient(settings.Address), json: settings.JSON}, errs
}

// address checks the positional argument, the address of an admin port.
func (e *settingErrors) address(text string) {
	if !wire.ValidAddress(text) {
		*e = append(*e, fmt.Sprintf("ADDRESS (GYPSUMRAIL_ADDRESS): %q is not an IP address and port", text))
	}
}

func (plan statusPlan) run(out io.Writer) error {
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	status, err := plan.client.Status(ctx)
	if err != nil {
		return err
	}
	if !plan.json {
		return status.Write(out)
	}
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(status)
}
