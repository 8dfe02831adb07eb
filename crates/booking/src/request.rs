//! How a request is judged: answered, sent, or passed on.

use base::prelude::*;

use crate::{
    BookingAction, BookingCall, BookingDesk, BookingEntry, BookingKey, BookingReply, BookingState,
    DeskPhase, HomeAddress, HomeTag, StoredAnswer, TagClaim, TicketId,
};

impl BookingDesk {
    /// Answers, sends or passes on a request; none if it waits for an answer under way.
    pub(crate) fn request(
        &mut self,
        now: TimePoint,
        ticket: TicketId,
        call: BookingCall,
    ) -> Option<BookingAction> {
        let tag = match &call.tag {
            TagClaim::Missing => return self.untagged(now, ticket, &call),
            TagClaim::Unverified => return Some(unknown(ticket)),
            TagClaim::Verified(tag) if tag.workspace != call.workspace => {
                return Some(not_run(ticket, RefusalReason::BadRequest));
            }
            TagClaim::Verified(tag) => tag.clone(),
        };
        let Some(clock) = self.homes.get(&tag.incarnation) else {
            return Some(self.forward(ticket, call, &tag));
        };
        let expires = clock.to_local(tag.expires);
        let key = call.key_at(tag.incarnation);
        if self.table.get(&key).is_some() {
            if now < expires {
                self.table.extend(&key, expires + self.limits.max_deadline);
            }
            return self.known(now, ticket, &call, &key);
        }
        Some(self.unseen(now, ticket, call, key, expires))
    }

    /// A booking without a tag was never sent, unless this table knows its key.
    fn untagged(
        &mut self,
        now: TimePoint,
        ticket: TicketId,
        call: &BookingCall,
    ) -> Option<BookingAction> {
        let keys = self.homes.keys().map(|home| call.key_at(*home));
        let known = keys.into_iter().find(|key| self.table.get(key).is_some());
        if let Some(key) = known {
            return self.known(now, ticket, call, &key);
        }
        let mut reply = BookingReply::not_run(RefusalReason::HomeTagMissing, None);
        if self.phase == DeskPhase::Serving {
            reply.tag = Some(self.issue_tag(now, &call.workspace));
        }
        Some(BookingAction::Reply { ticket, reply })
    }

    /// A key in the table is never sent again.
    fn known(
        &mut self,
        now: TimePoint,
        ticket: TicketId,
        call: &BookingCall,
        key: &BookingKey,
    ) -> Option<BookingAction> {
        let Some(entry) = self.table.get(key) else { return Some(unknown(ticket)) };
        if entry.fingerprint != call.fingerprint() {
            return Some(not_run(ticket, RefusalReason::BadRequest));
        }
        match &entry.state {
            BookingState::Answered(answer) => Some(done(ticket, answer)),
            BookingState::Unknown => Some(unknown(ticket)),
            BookingState::Sent => {
                if entry.waiters.len() >= self.limits.max_waiters || call.deadline <= now {
                    return Some(unknown(ticket));
                }
                self.counters.joined += 1;
                self.table.join(key, ticket, call.deadline);
                None
            }
        }
    }

    /// A key that is not in the table is sent only by a serving home while its tag lives.
    fn unseen(
        &mut self,
        now: TimePoint,
        ticket: TicketId,
        call: BookingCall,
        key: BookingKey,
        expires: TimePoint,
    ) -> BookingAction {
        if let Some(adopter) = self.phase.adopter() {
            return self.pass_on(ticket, call, adopter);
        }
        if expires <= now {
            return unknown(ticket);
        }
        if self.phase != DeskPhase::Serving {
            return not_run(ticket, RefusalReason::Stopping);
        }
        if call.deadline <= now {
            return not_run(ticket, RefusalReason::DeadlinePassed);
        }
        if self.is_full() {
            self.counters.table_full += 1;
            return not_run(ticket, RefusalReason::TableFull);
        }
        self.send.0 += 1;
        let entry = BookingEntry {
            fingerprint: call.fingerprint(),
            state: BookingState::Sent,
            send: self.send,
            not_run_status: call.not_run_status,
            waiters: Vec::new(),
            retain_until: expires + self.limits.max_deadline,
        };
        self.table.insert(key.clone(), entry);
        self.table.join(&key, ticket, call.deadline);
        BookingAction::Send { key, send: self.send, call }
    }

    /// Calls are passed on by the entry that the caller asked, and by a home that has
    /// handed its table over; so they travel at most as far as tables did.
    fn forward(&mut self, ticket: TicketId, call: BookingCall, tag: &HomeTag) -> BookingAction {
        if call.forwarded {
            return unknown(ticket);
        }
        let home = HomeAddress { incarnation: tag.incarnation, peer: tag.peer };
        let home = self.adopters.get(&tag.incarnation).copied().unwrap_or(home);
        self.pass_on(ticket, call, home)
    }

    fn pass_on(&mut self, ticket: TicketId, call: BookingCall, home: HomeAddress) -> BookingAction {
        if home.incarnation == self.address.incarnation {
            return unknown(ticket);
        }
        self.counters.forwarded += 1;
        BookingAction::Forward { ticket, home, call }
    }

    fn is_full(&self) -> bool {
        self.table.len() >= self.limits.max_entries
            || self.table.stored_bytes() >= self.limits.max_stored_bytes
    }
}

fn unknown(ticket: TicketId) -> BookingAction {
    BookingAction::Reply { ticket, reply: BookingReply::unknown() }
}

fn not_run(ticket: TicketId, reason: RefusalReason) -> BookingAction {
    BookingAction::Reply { ticket, reply: BookingReply::not_run(reason, None) }
}

fn done(ticket: TicketId, answer: &StoredAnswer) -> BookingAction {
    BookingAction::Reply { ticket, reply: BookingReply::done(answer) }
}
