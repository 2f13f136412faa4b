package httpwire

import (
	"slices"
	"sync"
)

// bodyBufferSizes are the capacities, in bytes, of the buffers that are used again: those that a body goes through while it grows.
var bodyBufferSizes = [...]int{initialBodySize, 2 * initialBodySize, 4 * initialBodySize, 8 * initialBodySize, MaxBuffered + 1}

// maxIdlePerSize is how many bytes of each size are kept for the next bodies.
const maxIdlePerSize = 2 * (MaxBuffered + 1)

// bodyBuffers are the buffers that are kept for the next bodies. Guards against bodies that are dropped as fast as they come: their
// memory is free only after a collection, but no budget counts it until then.
var bodyBuffers idleBuffers

// idleBuffers holds buffers that nobody uses, by the index of their capacity in bodyBufferSizes. It is safe for concurrent use.
type idleBuffers struct {
	mu     sync.Mutex
	bySize [len(bodyBufferSizes)][][]byte
}

// take returns an empty buffer with a capacity of size bytes.
func (i *idleBuffers) take(size int) []byte {
	class := slices.Index(bodyBufferSizes[:], size)
	if class < 0 {
		return make([]byte, 0, size)
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	idle := i.bySize[class]
	if len(idle) == 0 {
		return make([]byte, 0, size)
	}
	last := len(idle) - 1
	b := idle[last]
	idle[last], i.bySize[class] = nil, idle[:last]
	return b
}

// release lets a buffer be used again, which nobody else may hold. It is left to the garbage collector if its capacity is none of
// bodyBufferSizes, or if enough of them are idle.
func (i *idleBuffers) release(b []byte) {
	class := slices.Index(bodyBufferSizes[:], cap(b))
	if class < 0 {
		return
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	if (len(i.bySize[class])+1)*cap(b) <= maxIdlePerSize {
		i.bySize[class] = append(i.bySize[class], b[:0])
	}
}

// grow returns a buffer with a capacity of size bytes and the content of b, which is released.
func (i *idleBuffers) grow(b []byte, size int) []byte {
	larger := append(i.take(size), b...)
	i.release(b)
	return larger
}

// bodyBufferSize returns the smallest of bodyBufferSizes that is not below size, or size if it is above all.
func bodyBufferSize(size int) int {
	if i, _ := slices.BinarySearch(bodyBufferSizes[:], size); i < len(bodyBufferSizes) {
		return bodyBufferSizes[i]
	}
	return size
}
