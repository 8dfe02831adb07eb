//! Who may run a call that must not be repeated: its home, and nobody else.
//!
//! The answer to a lookup carries a signed [`HomeTag`] that names one incarnation of one
//! entry process. A booking is identified by its tag's home, workspace, service and
//! idempotency key; only its home sends it to a target, at most once. Safety needs no
//! store, lease or shared clock: an incarnation that is gone never comes back, so what it
//! may have sent stays *unknown*. Only a planned stop moves that right, once, to one
//! adopter ([`TableHandover`]).
//!
//! # What *not run* may rest on
//! *Not run* is a claim on the booking, not on the attempt that is answered:
//! - the home knows the key and its only send wrote no byte, or the target's published
//!   status says that it did not run it;
//! - the home (or its adopter) has never seen the key and the tag still lives;
//! - the request has no tag at all, so there is no booking yet; keys that the asked
//!   entry knows are answered from its table even then.
//!
//! All else is *unknown*: the home is gone or cannot be reached (a first try cannot be
//! told from a retry whose earlier attempt went through another entry, so a failed
//! connection proves nothing), an expired tag with an unknown key (the key may have been
//! evicted), a tag that does not verify (it may be the remains of a good one, or its
//! signing key was rotated out), and a home that has sent its table away.

mod action;
mod adoption;
mod call;
mod counters;
mod desk;
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
pub use counters::BookingCounters;
pub use desk::{BookingDesk, BookingLimits};
pub use entry::{BookingEntry, BookingState};
pub use error::{BookingError, Result};
pub use event::{BookingEvent, BookingFault};
pub use handover::{BookingHandover, HomeClock, TableHandover};
pub use phase::{DeskPhase, HomeAddress};
pub use reply::{BookingReply, StoredAnswer};
pub use tag::{HomeTag, TagClaim};
