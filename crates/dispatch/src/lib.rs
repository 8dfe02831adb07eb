//! Binds the routing desk, which performs no I/O, to the tasks of a process's calls.

mod call_desk;
mod call_ticket;

pub use call_desk::{CallDesk, RouteOrder};
pub use call_ticket::CallTicket;
