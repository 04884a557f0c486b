//! A global allocator that counts allocated heap bytes, for the slopes of memory.

use std::alloc::{GlobalAlloc, Layout, System};
use std::sync::atomic::{AtomicIsize, Ordering};

struct CountingAllocator;

static ALLOCATED_BYTES: AtomicIsize = AtomicIsize::new(0);

// SAFETY: every call is forwarded unchanged to the system allocator; only the sizes are counted in addition.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        ALLOCATED_BYTES.fetch_add(layout.size() as isize, Ordering::Relaxed);
        // SAFETY: the caller upholds the contract of `GlobalAlloc`, which `System` shares.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        ALLOCATED_BYTES.fetch_sub(layout.size() as isize, Ordering::Relaxed);
        // SAFETY: the caller upholds the contract of `GlobalAlloc`, which `System` shares.
        unsafe { System.dealloc(pointer, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

/// Bytes that are allocated now.
pub fn allocated_bytes() -> isize {
    ALLOCATED_BYTES.load(Ordering::Relaxed)
}
