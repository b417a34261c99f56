package retry_test

import (
	"fmt"

	"github.com/gypsumrail/gypsumrail/retry"
)

func ExampleAllowance() {
	allowance := retry.NewAllowance(3)
	lost := allowance.Grant(true)
	fmt.Println("first attempt carries", lost.Size(), "and leaves", allowance.Left())
	// Its answer is lost, so its portion stays spent. The retry takes the last one.
	fmt.Println(allowance.Spend(), allowance.Left(), allowance.Spend())
	// Output:
	// first attempt carries 2 and leaves 1
	// true 0 false
}

func ExampleAllowance_Return() {
	allowance := retry.NewAllowance(3)
	portion := allowance.Grant(true)
	allowance.Return(&portion, 1)
	fmt.Println(allowance.Left())
	allowance.Return(&portion, 1) // a second answer of the same attempt
	fmt.Println(allowance.Left())
	// Output:
	// 2
	// 2
}

func ExampleBudget() {
	budget := retry.New(retry.Settings{Burst: 1})
	fmt.Println(budget.Take(0, "gradebook"), budget.Take(0, "gradebook"))
	for range 10 {
		budget.Succeeded(0, "gradebook")
	}
	fmt.Println(budget.Take(0, "gradebook"))
	// Output:
	// true false
	// true
}

func ExampleBackoff() {
	var backoff retry.Backoff
	half := uint64(1) << 63
	fmt.Println(backoff.Delay(1, half), backoff.Delay(3, half), backoff.Delay(99, half))
	// Output: 5 20 500
}
