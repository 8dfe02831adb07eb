//! Elects, for each place, the VM that sends orders to its engines, and computes the orders.
//!
//! The stream `orders` of the platform's log contains claims ([`OrderClaim`]). The VM of
//! the latest claim of a place is its holder, and the claim's offset is the holder's
//! fencing number. A holder that reads a later claim of another VM stops sending orders
//! immediately. Safety does not depend on clocks:
//!
//! - Engines that check fencing numbers reject orders of an earlier holder, so the new
//!   holder may send orders as soon as it has read its claim.
//! - Engines that don't check them are sent orders only while no earlier claimant can
//!   resume: the VM of each has to be absent from the VM list. A VM appends a claim only
//!   while the list contains it, so a list that was requested after the claim was read and
//!   that doesn't contain the VM proves that the VM no longer exists.
//!
//! A claim names the earlier claimants that may still exist, and the last offset that its
//! author had read. Its list of earlier claimants is complete only for a reader to whom
//! every record after that offset is retained; otherwise any VM may have been a claimant.
//!
//! # When the log is unavailable
//! The holder continues to reconcile with its current fencing number. No other VM can take
//! over, since a claim takes effect only once it is read back. Renewals are retried until
//! they succeed. A claim that expires in the meantime remains in the memory of the
//! processes that read it; a process that starts later finds the history incomplete, which
//! blocks orders only to engines that don't check fencing numbers.

mod action;
mod assignment;
mod budget;
mod claim;
mod claim_rules;
mod claim_table;
mod controller;
mod counters;
mod error;
mod event;
mod plan;
mod reconcile;
mod settings;

pub use action::OrderAction;
pub use assignment::assign_models;
pub use budget::LoadBudget;
pub use claim::OrderClaim;
pub use claim_table::{ClaimTable, HolderState};
pub use controller::OrderController;
pub use counters::OrderCounters;
pub use error::{OrderError, Result};
pub use event::{OrderEvent, OrderMember, OrderRunner};
pub use plan::{OrderModel, OrderPlan, OrderService};
pub use settings::OrderSettings;
