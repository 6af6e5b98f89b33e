package sharer_test

import (
	"fmt"

	"github.com/gullvale/gullvale/pkg/hasher"
	"github.com/gullvale/gullvale/pkg/sharer"
)

func ExampleChooser() {
	d := sharer.Proportional(map[string]float64{"erie/a": 3, "erie/b": 1})
	fmt.Printf("%.2f\n", d.Of("erie/a").Fraction())
	c := sharer.NewChooser(d)
	fmt.Println(c.Choose(hasher.OfString("10.1.2.0/24")))
	// Output:
	// 0.75
	// erie/b
}
