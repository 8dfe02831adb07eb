//! A node that has stood still.
//!
//! Load pattern: a process is stopped, or waits for its share of a processor. Afterwards all its deadlines are
//! over, also those of answers that have arrived and were not read yet.

use base::prelude::*;

use crate::StreamLife;

/// Delay of a deadline from which on this node has stood still.
const MAX_DELAY: TimeSpan = TimeSpan::millis(300);
/// Time in which it reads what has arrived meanwhile.
const READ_TIME: TimeSpan = TimeSpan::millis(50);

impl StreamLife {
    /// Puts deadlines off for a moment if this node has stood still since the last input.
    pub(crate) fn note_stand(&mut self, now: TimePoint) {
        if now >= self.next_due && now.since(self.next_due) >= MAX_DELAY {
            self.resume_at = now + READ_TIME;
        }
    }
}
