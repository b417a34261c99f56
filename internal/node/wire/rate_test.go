package wire

import (
	"net/http"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/gypsumrail/gypsumrail"
)

// Guards against a rate limit of a target that is misread, or that a malformed one ends.
func TestReadStated(t *testing.T) {
	for _, test := range []struct {
		value string
		want  gypsumrail.Stated
	}{
		{"", gypsumrail.Stated{}},
		{"37.8", gypsumrail.Stated{RateLimited: true, RateLimit: 37.8}},
		{"0", gypsumrail.Stated{RateLimited: true}},
		{"1e999", gypsumrail.Stated{RateLimited: true, RateLimit: rateLimitMax}},
		{"-1", gypsumrail.Stated{Unreadable: true}},
		{"NaN", gypsumrail.Stated{Unreadable: true}},
		{"12 a second", gypsumrail.Stated{Unreadable: true}},
	} {
		header := http.Header{}
		if test.value != "" {
			header.Set(HeaderRateLimit, test.value)
		}
		if diff := cmp.Diff(&test.want, ReadStated(header)); diff != "" {
			t.Errorf("%q (-want +got):\n%s", test.value, diff)
		}
	}
}
