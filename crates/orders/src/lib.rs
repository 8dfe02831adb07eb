//! Who gives a place's engines their orders, and which orders.
//!
//! The stream `orders` of the platform's log holds claims ([`OrderClaim`]). The latest
//! claim of a place names its holder, and its offset is the holder's fencing number. A
//! holder that reads a later claim of another VM stops at once. No clock takes part:
//!
//! - Engines that check fencing numbers refuse an old holder, so their orders change
//!   hands with the claim itself.
//! - Engines that don't check take orders only while no earlier claimant can wake: each
//!   one's VM has to be gone from the VM list. A claimant claims only while it sees itself
//!   in that list, so a list that was asked for after its claim was read, and that lacks
//!   it, proves that it is gone.
//!
//! Claims name the earlier claimants that were not gone, and how far their author had
//! read. A reader trusts a claim to tell the whole history only if every record after
//! that point is retained; otherwise any VM may have been a claimant.
//!
//! # When the log is down
//! The holder goes on reconciling with the number it has; nobody can take over, since a
//! claim has to be appended and read back. Renewals are repeated until they succeed; a
//! claim that expires meanwhile stays in the memory of all who read it, and a fresh
//! reader finds its history incomplete, which blocks only engines that don't check.

mod action;
mod budget;
mod claim;
mod claim_table;
mod claims;
mod controller;
mod counters;

mod error;
mod event;

mod assignment;
mod plan;
mod reconcile;
mod settings;

pub use action::OrderAction;
pub use budget::LoadBudget;
pub use claim::OrderClaim;
pub use claim_table::{ClaimTable, HolderState};
pub use controller::OrderController;
pub use counters::OrderCounters;
pub use error::{OrderError, Result};
pub use event::{OrderEvent, OrderMember, OrderRunner};

pub use assignment::assign_models;
pub use plan::{OrderModel, OrderPlan, OrderService};
pub use settings::OrderSettings;
