package meter

import (
	"fmt"
	"io"

	"github.com/VictoriaMetrics/metrics"

	"github.com/gypsumrail/gypsumrail/internal/node/quota"
)

// ObserveBodies adds the memory that the bodies of answers and requests take to the metrics. Its
// labels name only the few targets that hold most when they are read.
func (m *Meter) ObserveBodies(answers, requests *quota.Quota) {
	m.set.RegisterMetricsWriter(func(w io.Writer) {
		usage := answers.Usage()
		metrics.WriteGaugeUint64(w, "gypsumrail_answer_bytes_max", uint64(usage.Bound))
		metrics.WriteCounterUint64(w, "gypsumrail_answers_given_up_total", usage.GivenUp)
		for _, t := range usage.Targets {
			metrics.WriteGaugeUint64(w, fmt.Sprintf("gypsumrail_answer_bytes{target=%q,state=\"reading\"}", t.Target), uint64(t.Reading))
			metrics.WriteGaugeUint64(w, fmt.Sprintf("gypsumrail_answer_bytes{target=%q,state=\"ready\"}", t.Target), uint64(t.Ready))
		}
		usage = requests.Usage()
		metrics.WriteGaugeUint64(w, `gypsumrail_request_bytes{state="reading"}`, uint64(usage.Reading))
		metrics.WriteGaugeUint64(w, `gypsumrail_request_bytes{state="ready"}`, uint64(usage.Ready))
		metrics.WriteGaugeUint64(w, "gypsumrail_request_bytes_max", uint64(usage.Bound))
		metrics.WriteCounterUint64(w, "gypsumrail_requests_given_up_total", usage.GivenUp)
	})
}
