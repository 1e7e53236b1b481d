// Package indexheap implements a binary heap whose items store their position,
// so that any item can be moved or removed in O(log n). Unlike container/heap,
// it does not need five methods for each type of item.
package indexheap

// Heap orders items by Less, with the least item first. Less and Pos must be
// set.
type Heap[T any] struct {
	Items []T // in heap order; callers must not modify the slice
	Less  func(a, b T) bool
	// Pos returns a pointer to the item's position plus one; 0 means that the
	// item is not in the heap.
	Pos func(T) *int
}

// Len returns the number of items.
func (h *Heap[T]) Len() int { return len(h.Items) }

// Top returns the least item. The heap must not be empty.
func (h *Heap[T]) Top() T { return h.Items[0] }

// Put inserts x, or restores the order after its key changed.
func (h *Heap[T]) Put(x T) {
	p := h.Pos(x)
	if *p == 0 {
		h.Items = append(h.Items, x)
		*p = len(h.Items)
	}
	if !h.down(*p - 1) {
		h.up(*p - 1)
	}
}

// Remove removes x if it is in the heap.
func (h *Heap[T]) Remove(x T) {
	p := h.Pos(x)
	if *p == 0 {
		return
	}
	i, last := *p-1, len(h.Items)-1
	h.swap(i, last)
	var zero T
	h.Items[last] = zero
	h.Items = h.Items[:last]
	*p = 0
	if i < last && !h.down(i) {
		h.up(i)
	}
}

func (h *Heap[T]) swap(i, j int) {
	h.Items[i], h.Items[j] = h.Items[j], h.Items[i]
	*h.Pos(h.Items[i]) = i + 1
	*h.Pos(h.Items[j]) = j + 1
}

// up moves the item at i towards the root.
func (h *Heap[T]) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.Less(h.Items[i], h.Items[parent]) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

// down moves the item at i towards the leaves and reports whether it moved.
func (h *Heap[T]) down(i int) bool {
	start := i
	for {
		child := 2*i + 1
		if child >= len(h.Items) {
			return i > start
		}
		if r := child + 1; r < len(h.Items) && h.Less(h.Items[r], h.Items[child]) {
			child = r
		}
		if !h.Less(h.Items[child], h.Items[i]) {
			return i > start
		}
		h.swap(i, child)
		i = child
	}
}

// Reorder restores the order after the keys of many items changed.
func (h *Heap[T]) Reorder() {
	for i := len(h.Items)/2 - 1; i >= 0; i-- {
		h.down(i)
	}
}
