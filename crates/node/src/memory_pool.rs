//! Bounds the memory that bodies of one kind take together.

use std::cell::Cell;
use std::rc::Rc;

/// Memory that several bodies share.
#[derive(Debug)]
pub struct MemoryPool {
    /// Size of the pool, in bytes.
    limit: usize,
    reserved: Cell<usize>,
}

impl MemoryPool {
    /// A pool of `limit` bytes.
    #[must_use]
    pub fn new(limit: usize) -> Rc<Self> {
        Rc::new(Self { limit, reserved: Cell::default() })
    }

    /// A reservation of no bytes.
    #[must_use]
    pub fn open(self: &Rc<Self>) -> MemoryReservation {
        MemoryReservation { pool: Rc::clone(self), bytes: 0 }
    }
}

/// Memory reserved for one body; released when dropped.
#[derive(Debug)]
pub struct MemoryReservation {
    pool: Rc<MemoryPool>,
    bytes: usize,
}

impl MemoryReservation {
    /// Grows to `bytes`, unless the pool has too few left. Returns whether it has as many now.
    pub fn grow_to(&mut self, bytes: usize) -> bool {
        let more = bytes.saturating_sub(self.bytes);
        let reserved = self.pool.reserved.get().checked_add(more);
        let Some(reserved) = reserved.filter(|reserved| *reserved <= self.pool.limit) else {
            return false;
        };
        self.pool.reserved.set(reserved);
        self.bytes += more;
        true
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.pool.reserved.set(self.pool.reserved.get() - self.bytes);
    }
}
