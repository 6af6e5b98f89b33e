package pooler

import (
	"sync"

	"github.com/gullvale/gullvale/internal/connection/framer"
)

// chunkBuffers holds the buffers for copying response bodies.
var chunkBuffers = sync.Pool{New: func() any { return new([framer.ChunkBytes]byte) }}
