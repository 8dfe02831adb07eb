//! Handling of booking requests: each is answered, sent or forwarded.

use base::prelude::*;

use crate::{
    BookingAction, BookingCall, BookingCoordinator, BookingEntry, BookingKey, BookingReply,
    BookingState, CoordinatorPhase, HomeAddress, HomeTag, StoredAnswer, TagClaim, TicketId,
};

impl BookingCoordinator {
    /// Answers, sends or forwards a request; `None` if it waits for a send in progress.
    pub(crate) fn handle_request(
        &mut self,
        now: TimePoint,
        ticket: TicketId,
        call: BookingCall,
    ) -> Option<BookingAction> {
        let tag = match &call.tag {
            TagClaim::Missing => return self.handle_untagged(now, ticket, &call),
            TagClaim::Unverified => return Some(reply_unknown(ticket)),
            TagClaim::Verified(tag) if tag.workspace != call.workspace => {
                return Some(reply_not_run(ticket, RefusalReason::BadRequest));
            }
            TagClaim::Verified(tag) => tag.clone(),
        };
        let Some(clock) = self.homes.get(&tag.incarnation) else {
            return Some(self.forward_to_home(ticket, call, &tag));
        };
        let expires = clock.local_time_of(tag.expires);
        let key = call.key_at(tag.incarnation);
        if self.table.get(&key).is_some() {
            if now < expires {
                self.table.extend_retention(&key, expires + self.limits.max_deadline);
            }
            return self.handle_known_key(now, ticket, &call, &key);
        }
        Some(self.handle_unknown_key(now, ticket, call, key, expires))
    }

    /// Handles a request without a tag: its booking was never sent unless this process has its
    /// key in the table.
    fn handle_untagged(
        &mut self,
        now: TimePoint,
        ticket: TicketId,
        call: &BookingCall,
    ) -> Option<BookingAction> {
        let keys = self.homes.keys().map(|home| call.key_at(*home));
        let known = keys.into_iter().find(|key| self.table.get(key).is_some());
        if let Some(key) = known {
            return self.handle_known_key(now, ticket, call, &key);
        }
        let mut reply = BookingReply::not_run(RefusalReason::HomeTagMissing, None);
        if self.phase == CoordinatorPhase::Serving {
            reply.tag = Some(self.issue_tag(now, &call.workspace));
        }
        Some(BookingAction::Reply { ticket, reply })
    }

    /// Handles a request whose key is in the table; such a key is never sent again.
    fn handle_known_key(
        &mut self,
        now: TimePoint,
        ticket: TicketId,
        call: &BookingCall,
        key: &BookingKey,
    ) -> Option<BookingAction> {
        let Some(entry) = self.table.get(key) else { return Some(reply_unknown(ticket)) };
        if entry.fingerprint != call.fingerprint() {
            return Some(reply_not_run(ticket, RefusalReason::BadRequest));
        }
        match &entry.state {
            BookingState::Answered(answer) => Some(reply_done(ticket, answer)),
            BookingState::Unknown => Some(reply_unknown(ticket)),
            BookingState::Sent => {
                if entry.waiters.len() >= self.limits.max_waiters || call.deadline <= now {
                    return Some(reply_unknown(ticket));
                }
                self.counters.joined += 1;
                self.table.add_waiter(key, ticket, call.deadline);
                None
            }
        }
    }

    /// Handles a request whose key is not in the table. It is sent only if this process is
    /// serving and the tag has not expired.
    fn handle_unknown_key(
        &mut self,
        now: TimePoint,
        ticket: TicketId,
        call: BookingCall,
        key: BookingKey,
        expires: TimePoint,
    ) -> BookingAction {
        if let Some(adopter) = self.phase.adopter() {
            return self.forward_to(ticket, call, adopter);
        }
        if expires <= now {
            return reply_unknown(ticket);
        }
        if self.phase != CoordinatorPhase::Serving {
            return reply_not_run(ticket, RefusalReason::Stopping);
        }
        if call.deadline <= now {
            return reply_not_run(ticket, RefusalReason::DeadlinePassed);
        }
        if self.is_full() {
            self.counters.table_full += 1;
            return reply_not_run(ticket, RefusalReason::TableFull);
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
        self.table.add_waiter(&key, ticket, call.deadline);
        BookingAction::Send { key, send: self.send, call }
    }

    /// Forwards a call to its home or the home's adopter. Only the entry that received the
    /// call from the caller and homes that have handed their table over forward calls, so the
    /// number of hops is limited by the number of handovers.
    fn forward_to_home(
        &mut self,
        ticket: TicketId,
        call: BookingCall,
        tag: &HomeTag,
    ) -> BookingAction {
        if call.forwarded {
            return reply_unknown(ticket);
        }
        let home = HomeAddress { incarnation: tag.incarnation, peer: tag.peer };
        let home = self.adopters.get(&tag.incarnation).copied().unwrap_or(home);
        self.forward_to(ticket, call, home)
    }

    fn forward_to(
        &mut self,
        ticket: TicketId,
        call: BookingCall,
        home: HomeAddress,
    ) -> BookingAction {
        if home.incarnation == self.address.incarnation {
            return reply_unknown(ticket);
        }
        self.counters.forwarded += 1;
        BookingAction::Forward { ticket, home, call }
    }

    fn is_full(&self) -> bool {
        self.table.len() >= self.limits.max_entries
            || self.table.stored_bytes() >= self.limits.max_stored_bytes
    }
}

fn reply_unknown(ticket: TicketId) -> BookingAction {
    BookingAction::Reply { ticket, reply: BookingReply::unknown() }
}

fn reply_not_run(ticket: TicketId, reason: RefusalReason) -> BookingAction {
    BookingAction::Reply { ticket, reply: BookingReply::not_run(reason, None) }
}

fn reply_done(ticket: TicketId, answer: &StoredAnswer) -> BookingAction {
    BookingAction::Reply { ticket, reply: BookingReply::done(answer) }
}
