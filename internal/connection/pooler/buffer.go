package pooler

import (
	"sync"

	"github.com/gullvale/gullvale/internal/connection/framer"
)

// chunks holds the buffers through which answers are copied.
var chunks = sync.Pool{New: func() any { return new([framer.ChunkBytes]byte) }}
