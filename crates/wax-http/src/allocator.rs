//! Returns memory that was freed to the kernel.

/// Returns the free pages of the heap to the kernel. The allocator keeps them otherwise, and their holes
/// do not suit the next, larger allocations.
#[cfg(all(target_os = "linux", target_env = "gnu"))]
pub(crate) fn return_free_memory() {
    // SAFETY: the function takes no pointer and may be called at any time.
    unsafe { libc::malloc_trim(0) };
}

/// Does nothing: there is no such function for this allocator.
#[cfg(not(all(target_os = "linux", target_env = "gnu")))]
pub(crate) fn return_free_memory() {}
