package verbs

import (
	"context"
	"fmt"
	"io"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/internal/node/admin"
)

type releaseArgs struct {
	Address     string `arg:"positional,env:GYPSUMRAIL_ADDRESS" placeholder:"ADDRESS" help:"IP address and port of the admin endpoint (required)"`
	Fingerprint string `arg:"positional,env:GYPSUMRAIL_FINGERPRINT" placeholder:"FINGERPRINT" help:"fingerprint of the request, as in the status (required)"`
}

// Description returns the text at the top of the help output.
func (releaseArgs) Description() string {
	return "Ends the quarantine of a request that crashed targets, at all nodes. It may run again.\n" +
		"Exit code 0: it is released; 1: the node does not hold it or did not answer; 2: wrong usage."
}

// releasePlan holds the validated settings of release.
type releasePlan struct {
	client      *admin.Client
	fingerprint uint64
}

func runRelease(args []string, out, errOut io.Writer) int {
	var settings releaseArgs
	if code, ok := parseArgs("release", &settings, args, out, errOut); !ok {
		return code
	}
	plan, errs := buildRelease(settings)
	if len(errs) > 0 {
		return errs.write("release", errOut)
	}
	if err := plan.run(out); err != nil {
		fmt.Fprintf(errOut, "gypsumrail release: %v\n", err)
		return ExitNotMet
	}
	return ExitOK
}

func buildRelease(settings releaseArgs) (releasePlan, settingErrors) {
	var errs settingErrors
	errs.address(settings.Address)
	fingerprint, ok := gypsumrail.ParseFingerprint(settings.Fingerprint)
	if !ok {
		errs = append(errs, fmt.Sprintf("FINGERPRINT (GYPSUMRAIL_FINGERPRINT): %q is not 16 hexadecimal digits", settings.Fingerprint))
	}
	return releasePlan{client: admin.NewClient(settings.Address), fingerprint: fingerprint}, errs
}

func (plan releasePlan) run(out io.Writer) error {
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	held, err := plan.client.Release(ctx, plan.fingerprint)
	if err != nil {
		return err
	}
	name := gypsumrail.FormatFingerprint(plan.fingerprint)
	if !held {
		return fmt.Errorf("the node holds nothing against request %s; 'gypsumrail status' lists those that it does", name)
	}
	_, err = fmt.Fprintf(out, "Request %s is released. Other nodes follow within a few seconds.\n", name)
	return err
}
