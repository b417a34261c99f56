package verbs

import (
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/internal/cmds/audit"
	"github.com/gypsumrail/gypsumrail/platform"
	"github.com/gypsumrail/gypsumrail/record"
)

type checkArgs struct {
	Files     []string `arg:"positional" placeholder:"FILE" help:"record sets, or configurations as in op/config, to check"`
	Against   string   `arg:"--against" placeholder:"FILE" help:"configuration in force: print what FILE adds, removes and changes"`
	SchemaMax string   `arg:"--schema-max,env:GYPSUMRAIL_SCHEMA_MAX" placeholder:"N" help:"highest schema version that the nodes know, 1 or 2 [default: 2]"`
}

// Description returns the text at the top of the help output.
func (checkArgs) Description() string {
	return "Checks record sets and configurations of the operator. Reports all faults of all record sets and\n" +
		"exits with 2 if there are any. Reports what is wrong with a configuration or has no effect and\n" +
		"exits with 1 if there is anything, or with 2 if nodes would reject the whole configuration.\n" +
		"Keys are shown as the first 8 digits of their SHA-256 digest."
}

// checkPlan holds the validated settings of check.
type checkPlan struct {
	files   []string
	against string
	options record.Options
}

func runCheck(args []string, out, errOut io.Writer) int {
	var settings checkArgs
	if code, ok := parseArgs("check", &settings, args, out, errOut); !ok {
		return code
	}
	plan, errs := buildCheck(settings)
	if len(errs) > 0 {
		return errs.write("check", errOut)
	}
	return plan.run(out, errOut)
}

func buildCheck(settings checkArgs) (checkPlan, settingErrors) {
	var errs settingErrors
	plan := checkPlan{files: settings.Files, against: settings.Against}
	if len(settings.Files) == 0 {
		errs = append(errs, "FILE: at least one file is required")
	}
	if settings.Against != "" && len(settings.Files) > 1 {
		errs = append(errs, "--against: exactly one file can be compared")
	}
	plan.options.SchemaMax = errs.integer("--schema-max", settings.SchemaMax, 1, record.SchemaMax, record.SchemaMax)
	return plan, errs
}

func (plan checkPlan) run(out, errOut io.Writer) int {
	code := ExitOK
	for _, file := range plan.files {
		data, err := readFile(file)
		if err != nil {
			fmt.Fprintln(errOut, err)
			code = ExitBadInput
			continue
		}
		if plan.against != "" || platform.IsConfig(data) {
			code = max(code, plan.checkConfig(file, data, out, errOut))
			continue
		}
		records, err := record.Parse(file, data, plan.options)
		if err != nil {
			fmt.Fprintln(errOut, err)
			code = ExitBadInput
			continue
		}
		fmt.Fprintf(out, "%s: revision %d is valid: %s, %s, %s, %s\n", file, records.Revision,
			count(len(records.Services), "service"), count(len(records.Targets), "target"),
			count(len(records.Classes), "class"), count(len(records.Accounts), "tenant"))
	}
	return code
}

// checkConfig checks a configuration of the operator and compares it with the one in force.
func (plan checkPlan) checkConfig(file string, data []byte, out, errOut io.Writer) int {
	config, err := audit.Read(data)
	if err != nil {
		fmt.Fprintf(errOut, "%s: %v\n", file, err)
		return ExitBadInput
	}
	findings := config.Findings()
	fmt.Fprintf(out, "%s: version %d: %s, %s, %s, %s\n", file, config.Records.Revision, count(len(config.Records.Classes), "route"),
		count(len(config.Records.Services), "service"), count(len(config.Accounts), "account"), count(len(findings), "finding"))
	for _, finding := range findings {
		fmt.Fprintln(out, finding)
	}
	if plan.against != "" {
		data, err := readFile(plan.against)
		if err != nil {
			fmt.Fprintln(errOut, err)
			return ExitBadInput
		}
		before, err := audit.Read(data)
		if err != nil {
			fmt.Fprintf(errOut, "%s: %v\n", plan.against, err)
			return ExitBadInput
		}
		changes := config.Changes(before)
		fmt.Fprintf(out, "against %s: version %d: %s\n", plan.against, before.Records.Revision, count(len(changes), "change"))
		for _, change := range changes {
			fmt.Fprintln(out, change)
		}
	}
	if len(findings) > 0 {
		return ExitNotMet
	}
	return ExitOK
}

// readRecords reads a record set from a file. Its errors name the file.
func readRecords(file string, options record.Options) (*gypsumrail.Records, error) {
	data, err := readFile(file)
	if err != nil {
		return nil, err
	}
	return record.Parse(file, data, options)
}

// readFile reads a file of at most the size of a record set. Its errors name the file.
func readFile(file string) ([]byte, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer f.Close() //nolint:errcheck // nothing was written
	// One byte over the limit makes Parse reject the record set.
	return io.ReadAll(io.LimitReader(f, record.SizeMax+1))
}

// count returns a number with its noun in the singular or plural.
func count(n int, noun string) string {
	switch {
	case n == 1:
		return "1 " + noun
	case strings.HasSuffix(noun, "s"):
		return fmt.Sprintf("%d %ses", n, noun)
	case strings.HasSuffix(noun, "y"):
		return fmt.Sprintf("%d %sies", n, strings.TrimSuffix(noun, "y"))
	}
	return fmt.Sprintf("%d %ss", n, noun)
}
