package verbs

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/record"
)

type explainArgs struct {
	Records string `arg:"--records,env:GYPSUMRAIL_RECORDS" placeholder:"FILE" help:"record set (required)"`
	Service string `arg:"--service,env:GYPSUMRAIL_SERVICE" help:"service that the request calls (required)"`
	Class   string `arg:"--class,env:GYPSUMRAIL_CLASS" help:"class of the request (required)"`
	Account string `arg:"--tenant,env:GYPSUMRAIL_TENANT" help:"client account of the caller (required)"`
	Zone    string `arg:"--zone,env:GYPSUMRAIL_ZONE" help:"availability zone of the sending node"`
	JSON    bool   `arg:"--json,env:GYPSUMRAIL_JSON" help:"print JSON"`
}

// Description returns the text at the top of the help output.
func (explainArgs) Description() string {
	return "Tells which upstreams can serve a request according to the records, which are left out, and why."
}

// explainPlan holds the validated settings of explain. All names are in the
// records, except perhaps the account.
type explainPlan struct {
	records *gypsumrail.Records
	service *gypsumrail.Service
	class   *gypsumrail.Class
	account string
	zone    string
	json    bool
}

// explanation is the JSON output of explain.
type explanation struct {
	Revision        gypsumrail.Revision
	Class           string
	Importance      gypsumrail.Importance
	DeadlineMillis  int64
	Allowance       int
	Repeatable      bool
	LateIsWorthless bool
	Service         string
	Needs           []string
	Account         string  `json:"Tenant"`
	AccountKnown    bool    `json:"TenantKnown"`
	AccountShare    float64 `json:"TenantShare"` // share of a target's slots under overload; 0 means no limit
	Zone            string
	Usable          []explainedTarget
	LeftOut         []explainedTarget
}

// explainedTarget is one upstream and the reason why it can or cannot serve the
// request.
type explainedTarget struct {
	Name  string
	Zone  string
	Slots int
	Conns int
	Why   string
}

func runExplain(args []string, out, errOut io.Writer) int {
	var settings explainArgs
	if code, ok := parseArgs("explain", &settings, args, out, errOut); !ok {
		return code
	}
	plan, errs := buildExplain(settings)
	if len(errs) > 0 {
		return errs.write("explain", errOut)
	}
	if err := plan.run(out); err != nil {
		fmt.Fprintf(errOut, "gypsumrail explain: %v\n", err)
		return ExitNotMet
	}
	return ExitOK
}

func buildExplain(settings explainArgs) (explainPlan, settingErrors) {
	var errs settingErrors
	plan := explainPlan{account: settings.Account, zone: settings.Zone, json: settings.JSON}
	if settings.Account == "" {
		errs.add("--tenant", "the name of a client account is required")
	}
	if settings.Records == "" {
		errs.add("--records", "a file with a record set is required")
	} else {
		records, err := readRecords(settings.Records, record.Options{})
		if err != nil {
			errs = append(errs, strings.Split(err.Error(), "\n")...)
		}
		plan.records = records
	}
	if plan.records == nil {
		// Without records, only check that the names are given.
		if settings.Service == "" {
			errs.add("--service", "the name of a service is required")
		}
		if settings.Class == "" {
			errs.add("--class", "the name of a class is required")
		}
		return plan, errs
	}
	plan.service = plan.records.Services[settings.Service]
	if plan.service == nil {
		errs.add("--service", fmt.Sprintf("%q is not one of %s", settings.Service, listNames(plan.records.Services)))
	}
	plan.class = plan.records.Classes[settings.Class]
	if plan.class == nil {
		errs.add("--class", fmt.Sprintf("%q is not one of %s", settings.Class, listNames(plan.records.Classes)))
	}
	if plan.service != nil && plan.class != nil && !slices.Contains(plan.class.Uses, plan.service.Name) {
		errs.add("--service", fmt.Sprintf("class %q does not use %q, only %s",
			plan.class.Name, plan.service.Name, strings.Join(plan.class.Uses, ", ")))
	}
	zones := map[string]bool{}
	for _, target := range plan.records.Targets {
		zones[target.Zone] = true
	}
	if settings.Zone != "" && !zones[settings.Zone] {
		errs.add("--zone", fmt.Sprintf("%q is not one of %s", settings.Zone, listNames(zones)))
	}
	return plan, errs
}

// listNames returns the sorted keys of a map, separated by commas.
func listNames[T any](m map[string]T) string {
	return strings.Join(slices.Sorted(maps.Keys(m)), ", ")
}

func (plan explainPlan) run(out io.Writer) error {
	e := plan.explain()
	if plan.json {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(e)
	}
	return e.write(out)
}

func (plan explainPlan) explain() explanation {
	class := plan.class
	e := explanation{
		Revision: plan.records.Revision,
		Class:    class.Name, Importance: class.Importance, DeadlineMillis: int64(class.Deadline), Allowance: class.Allowance,
		Repeatable: class.Repeatable, LateIsWorthless: class.LateIsWorthless,
		Service: plan.service.Name, Needs: append([]string{}, class.Capabilities[plan.service.Name]...),
		Account: plan.account, Zone: plan.zone,
		Usable: []explainedTarget{}, LeftOut: []explainedTarget{},
	}
	if account := plan.records.Accounts[plan.account]; account != nil {
		e.AccountKnown, e.AccountShare = true, account.Share
	}
	for _, name := range slices.Sorted(maps.Keys(plan.records.Targets)) {
		target := plan.records.Targets[name]
		if target.Service != plan.service.Name {
			continue
		}
		explained := explainedTarget{
			Name: name, Zone: target.Zone,
			Slots: min(target.Slots, plan.service.SlotsMax), Conns: min(target.Conns, plan.service.ConnsMax),
		}
		if missing := record.MissingCapabilities(target, e.Needs); len(missing) > 0 {
			explained.Why = "lacks " + strings.Join(missing, ", ")
			e.LeftOut = append(e.LeftOut, explained)
			continue
		}
		switch plan.zone {
		case "":
			explained.Why = "has all capabilities"
		case target.Zone:
			explained.Why = "own zone, preferred"
		default:
			explained.Why = fmt.Sprintf("other zone, used when the expected delay in the own zone is more than %d ms longer", plan.service.ZoneDelay)
		}
		e.Usable = append(e.Usable, explained)
	}
	return e
}

func (e explanation) write(out io.Writer) error {
	repeatable := "repeatable"
	if !e.Repeatable {
		repeatable = "not repeatable"
	}
	late := ""
	if e.LateIsWorthless {
		late = ", a late answer is worthless"
	}
	needs := "needs no capability"
	if len(e.Needs) > 0 {
		needs = "needs " + strings.Join(e.Needs, ", ")
	}
	account := "no limit of its share"
	switch {
	case !e.AccountKnown:
		account = "not in the records, so no limit of its share"
	case e.AccountShare > 0:
		account = fmt.Sprintf("at most %g of a target's slots under overload", e.AccountShare)
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "Class\t%s: importance %d, deadline %d ms, allowance of %s, %s%s\n",
		e.Class, e.Importance, e.DeadlineMillis, count(e.Allowance, "retry"), repeatable, late)
	fmt.Fprintf(w, "Service\t%s: %s\n", e.Service, needs)
	fmt.Fprintf(w, "Tenant\t%s: %s\n", e.Account, account)
	writeTargets(w, "Can serve", e.Usable)
	writeTargets(w, "Left out", e.LeftOut)
	return w.Flush()
}

func writeTargets(w io.Writer, title string, targets []explainedTarget) {
	if len(targets) == 0 {
		fmt.Fprintf(w, "%s\tnone\n", title)
		return
	}
	for _, t := range targets {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d slots\t%d connections\t%s\n", title, t.Name, t.Zone, t.Slots, t.Conns, t.Why)
	}
}
