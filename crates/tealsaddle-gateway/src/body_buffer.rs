//! Buffer for a body of a caller, which arrives a part at a time.
//!
//! The parts are copied into segments, so that nothing refers to the larger buffers in which they arrived. A single block that
//! grows would leave freed blocks of all sizes behind: with many bodies at once, the process took twice the memory that they
//! held.

use bytes::{Bytes, BytesMut};

use crate::caller_memory::BodyShare;

/// Sizes of the smallest and the largest segment; each one is as large as all before it.
const SEGMENT_BYTES: (usize, usize) = (4 << 10, 64 << 10);

/// The part of a body that has arrived.
#[derive(Debug)]
pub struct BodyBuffer {
    full: Vec<BytesMut>,
    last: BytesMut,
    /// Sum of the segments' capacities.
    capacity_bytes: usize,
    bytes: usize,
    /// Most bytes of the body.
    most_bytes: usize,
}

/// The budget of the node has no room for more of the body.
#[derive(Debug)]
pub struct BudgetUsedUp;

impl BodyBuffer {
    /// Creates an empty buffer for a body of at most `most_bytes`.
    pub fn open(most_bytes: usize) -> Self {
        Self {
            full: Vec::new(),
            last: BytesMut::new(),
            capacity_bytes: 0,
            bytes: 0,
            most_bytes,
        }
    }

    /// Adds a part if the node may hold it.
    pub fn push(&mut self, mut part: &[u8], share: &BodyShare) -> Result<(), BudgetUsedUp> {
        while !part.is_empty() {
            if self.last.len() == self.last.capacity() {
                self.add_segment(part.len(), share)?;
            }
            let free = self.last.capacity() - self.last.len();
            let (now, rest) = part.split_at(free.min(part.len()));
            self.last.extend_from_slice(now);
            self.bytes += now.len();
            part = rest;
        }
        Ok(())
    }

    fn add_segment(&mut self, part_bytes: usize, share: &BodyShare) -> Result<(), BudgetUsedUp> {
        let (smallest, largest) = SEGMENT_BYTES;
        let wanted = self.bytes.max(part_bytes).clamp(smallest, largest);
        let left = self.most_bytes.saturating_sub(self.bytes);
        let capacity = wanted.min(left).max(1);
        self.capacity_bytes += capacity;
        if !share.set(self.capacity_bytes) {
            return Err(BudgetUsedUp);
        }
        let full = std::mem::replace(&mut self.last, BytesMut::with_capacity(capacity));
        self.full.push(full);
        Ok(())
    }

    /// The whole body. A body of several segments is copied into one block, and each segment freed once it is copied.
    pub fn into_bytes(self, share: &BodyShare) -> Result<Bytes, BudgetUsedUp> {
        if self.bytes == self.last.len() {
            return Ok(self.last.freeze());
        }
        let mut whole = BytesMut::with_capacity(self.bytes);
        for segment in self.full.into_iter().chain([self.last]) {
            whole.extend_from_slice(&segment);
        }
        if share.set(self.bytes) {
            Ok(whole.freeze())
        } else {
            Err(BudgetUsedUp)
        }
    }
}
