package ledger_test

import (
	"fmt"

	"github.com/gypsumrail/gypsumrail"
	"github.com/gypsumrail/gypsumrail/ledger"
)

func Example() {
	self := gypsumrail.Instance{Name: "lotdesk-2", Incarnation: 77}
	l := ledger.New(self, ledger.Settings{})
	now := 5 * gypsumrail.Minute
	key, err := ledger.ParseKey("lotdesk-2:000000000000004d:00000005:0123456789abcdef0123456789abcdef")
	if err != nil {
		fmt.Println(err)
		return
	}
	// A sender lost the connection and asks for the outcome of its attempt.
	fmt.Println(l.Refuse(now, key, 257))
	// The refused attempt arrives late and does not start. The next one starts, and
	// no other while it runs or after it ran.
	fmt.Println(l.Start(now, key, 257))
	fmt.Println(l.Start(now, key, 258))
	fmt.Println(l.Start(now, key, 259))
	l.Finish(now, key, gypsumrail.Ran)
	fmt.Println(l.Start(now, key, 259))
	// Output:
	// Refused
	// Refused
	// Start
	// Running
	// Done
}

func ExampleParseKey() {
	_, err := ledger.ParseKey("lotdesk-2:1:2:3")
	fmt.Println(err)
	// Output: malformed idempotency key: length 15 is outside [60, 123]
}

func ExampleFormatKey() {
	fmt.Println(ledger.FormatKey(gypsumrail.Key{
		Home: "gatehouse-1", Incarnation: 77, Epoch: 300, Nonce: "0123456789abcdef0123456789abcdef",
	}))
	// Output: gatehouse-1:000000000000004d:0000012c:0123456789abcdef0123456789abcdef
}
