//! A planned stop: the right to run a home's bookings moves once, to one adopter.

use base::prelude::*;

use crate::{
    BookingAction, BookingDesk, BookingEntry, BookingHandover, BookingKey, BookingState, DeskPhase,
    HomeAddress, HomeClock, SendNumber, TableHandover,
};

/// Send number of entries that another process sent; no event of this desk carries it.
const SENT_ELSEWHERE: SendNumber = SendNumber(0);

impl BookingDesk {
    pub(crate) fn freeze(&mut self) {
        if self.phase == DeskPhase::Serving {
            self.phase = DeskPhase::Frozen;
        }
    }

    /// From here on this desk never says *not run* of a key that it does not know: the
    /// adopter may have run it, whether or not its confirmation arrives.
    pub(crate) fn start_hand_over(
        &mut self,
        now: TimePoint,
        adopter: HomeAddress,
    ) -> Vec<BookingAction> {
        if self.phase != DeskPhase::Frozen || adopter.incarnation == self.address.incarnation {
            return Vec::new();
        }
        let handover = Arc::new(self.make_handover(now, adopter.incarnation));
        let resend_at = now + self.limits.handover_retry_interval;
        self.phase = DeskPhase::HandingOver { adopter, handover: handover.clone(), resend_at };
        vec![BookingAction::SendHandover { adopter, handover }]
    }

    pub(crate) fn resend_hand_over(&mut self, now: TimePoint) -> Option<BookingAction> {
        let DeskPhase::HandingOver { adopter, handover, resend_at } = &mut self.phase else {
            return None;
        };
        if now < *resend_at {
            return None;
        }
        *resend_at = now + self.limits.handover_retry_interval;
        Some(BookingAction::SendHandover { adopter: *adopter, handover: handover.clone() })
    }

    pub(crate) fn hand_over_done(&mut self, by: VmIncarnation) {
        if let Some(adopter) = self.asked_adopter(by) {
            self.phase = DeskPhase::HandedOver { adopter };
        }
    }

    /// The adopter is frozen for ever and never took the table, so another may be asked.
    pub(crate) fn hand_over_refused(&mut self, by: VmIncarnation) {
        if self.asked_adopter(by).is_some() {
            self.phase = DeskPhase::Frozen;
        }
    }

    fn asked_adopter(&self, by: VmIncarnation) -> Option<HomeAddress> {
        match &self.phase {
            DeskPhase::HandingOver { adopter, .. } if adopter.incarnation == by => Some(*adopter),
            _ => None,
        }
    }

    /// Takes a table once; a repeated hand-over must not undo what was run since. One that
    /// is meant for another process gets no answer.
    pub(crate) fn adopt(
        &mut self,
        now: TimePoint,
        handover: TableHandover,
    ) -> Option<BookingAction> {
        let home = handover.from;
        if handover.to != self.address.incarnation {
            self.counters.stale += 1;
            return None;
        }
        let accepted = self.homes.contains_key(&home) || self.phase == DeskPhase::Serving;
        if !self.homes.contains_key(&home) && accepted {
            self.take_table(now, handover);
        }
        Some(BookingAction::AnswerHandover { home, accepted })
    }

    fn take_table(&mut self, now: TimePoint, handover: TableHandover) {
        for (incarnation, home_time) in handover.homes {
            self.homes.insert(incarnation, HomeClock { home_time, local_time: now });
            self.adopters.remove(&incarnation);
        }
        for entry in handover.entries {
            self.counters.adopted += 1;
            self.table.insert(entry.key.clone(), adopted_entry(now, entry));
        }
    }

    fn make_handover(&self, now: TimePoint, to: VmIncarnation) -> TableHandover {
        let homes = self.homes.iter().map(|(home, clock)| (*home, clock.to_home(now)));
        let entries = self.table.iter().map(|(key, entry)| hand_over_entry(now, key, entry));
        TableHandover {
            from: self.address.incarnation,
            to,
            homes: homes.collect(),
            entries: entries.collect(),
        }
    }
}

/// A send that is still under way can't be followed by the adopter.
fn hand_over_entry(now: TimePoint, key: &BookingKey, entry: &BookingEntry) -> BookingHandover {
    let state = match &entry.state {
        BookingState::Sent => BookingState::Unknown,
        known => known.clone(),
    };
    BookingHandover {
        key: key.clone(),
        fingerprint: entry.fingerprint,
        state,
        retention: entry.retain_until.since(now),
    }
}

fn adopted_entry(now: TimePoint, entry: BookingHandover) -> BookingEntry {
    BookingEntry {
        fingerprint: entry.fingerprint,
        state: entry.state,
        send: SENT_ELSEWHERE,
        not_run_status: 0,
        waiters: Vec::new(),
        retain_until: now + entry.retention,
    }
}
