package policy

// indexHeap is a binary heap whose items know their position, so that any item
// can be moved or removed in O(log n).
type indexHeap[T any] struct {
	items []T
	less  func(a, b T) bool
	pos   func(T) *int // position plus one; 0 if the item is not in the heap
}

func (h *indexHeap[T]) len() int { return len(h.items) }

// top returns the least item; the heap must not be empty.
func (h *indexHeap[T]) top() T { return h.items[0] }

// put inserts the item, or restores the order after its key changed.
func (h *indexHeap[T]) put(x T) {
	p := h.pos(x)
	if *p == 0 {
		h.items = append(h.items, x)
		*p = len(h.items)
	}
	if !h.down(*p - 1) {
		h.up(*p - 1)
	}
}

// drop removes the item if it is in the heap.
func (h *indexHeap[T]) drop(x T) {
	p := h.pos(x)
	if *p == 0 {
		return
	}
	i, last := *p-1, len(h.items)-1
	h.swap(i, last)
	var zero T
	h.items[last] = zero
	h.items = h.items[:last]
	*p = 0
	if i < last && !h.down(i) {
		h.up(i)
	}
}

func (h *indexHeap[T]) swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	*h.pos(h.items[i]) = i + 1
	*h.pos(h.items[j]) = j + 1
}

func (h *indexHeap[T]) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(h.items[i], h.items[parent]) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

// down reports whether the item moved.
func (h *indexHeap[T]) down(i int) bool {
	start := i
	for {
		child := 2*i + 1
		if child >= len(h.items) {
			return i > start
		}
		if r := child + 1; r < len(h.items) && h.less(h.items[r], h.items[child]) {
			child = r
		}
		if !h.less(h.items[child], h.items[i]) {
			return i > start
		}
		h.swap(i, child)
		i = child
	}
}

// reorder restores the order after many keys changed.
func (h *indexHeap[T]) reorder() {
	for i := len(h.items)/2 - 1; i >= 0; i-- {
		h.down(i)
	}
}
