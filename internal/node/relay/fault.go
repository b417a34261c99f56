package relay

import "github.com/gypsumrail/gypsumrail/internal/node/shell"

// reportFault counts and logs an answer that was refused for its form, unless this node had
// closed the connection.
func (r *Relay) reportFault(hop shell.Hop, c *call, a *attempt, x *httpExchange, err error) {
	if err != nil && !a.isCanceled() && !a.isAborted() {
		r.faults.Report(hop, c.request, x.answer.target, err)
	}
}
