package linker_test

import (
	"testing"

	"github.com/gullvale/gullvale/internal/standin/seeder"
)

func TestMain(m *testing.M) { seeder.Main(m) }
