//! At-most-once execution of calls that must not be repeated ("bookings").
//!
//! The response to a lookup carries a signed [`HomeTag`] that names one incarnation of one
//! entry process: the booking's home. A booking is identified by its tag's home, its
//! workspace, its service and its idempotency key; only its home sends it to a target, and
//! at most once.
//!
//! This needs no store, lease or shared clock: an incarnation that is gone never comes
//! back, so the outcome of what it may have sent stays *unknown*. Only a planned stop
//! transfers the right to send, once, to one adopter ([`TableHandover`]).
//!
//! # When a booking may be reported as *not run*
//! *Not run* is a claim about the booking, not only about the attempt that is answered. It
//! is made only in these cases:
//! - The home knows the key, and its only send wrote no byte, or the target answered with
//!   its published status for calls that it did not run.
//! - The home (or its adopter) has never seen the key, and the tag has not expired.
//! - The request has no tag at all, so there is no booking yet. If the receiving entry knows
//!   the key, it answers from its table even then.
//!
//! In all other cases the outcome is *unknown*:
//! - The home is gone or unreachable. A first try cannot be told from a retry whose earlier
//!   attempt went through another entry, so a failed connection proves nothing.
//! - The tag has expired and the key is not in the table; it may have been evicted.
//! - The tag does not verify. It may be a damaged copy of a valid tag, or its signing key may
//!   have been rotated out.
//! - The home has handed its table over.

mod action;
mod adoption;
mod call;
mod coordinator;
mod counters;
mod entry;
mod error;
mod event;
mod handover;
mod phase;
mod reply;
mod request;
mod table;
mod tag;

pub use action::BookingAction;
pub use call::{BookingCall, BookingKey, SendNumber, TicketId};
pub use coordinator::{BookingCoordinator, BookingLimits};
pub use counters::BookingCounters;
pub use entry::{BookingEntry, BookingState};
pub use error::{BookingError, Result};
pub use event::{BookingEvent, BookingFault};
pub use handover::{BookingHandover, HomeClock, TableHandover};
pub use phase::{CoordinatorPhase, HomeAddress};
pub use reply::{BookingReply, StoredAnswer};
pub use tag::{HomeTag, TagClaim};
