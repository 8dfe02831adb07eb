//! Which runner gets the next call: load estimates, admission, queueing and limits.
//!
//! [`RouteDesk`] is the whole decision as a plain struct: it takes the time and an event
//! and gives actions. It performs no I/O, reads no clock, and draws random numbers only
//! from the seed that it was given.

mod desk;
mod event;

pub use desk::RouteDesk;
pub use event::{
    CallEnd, CallId, PolicyName, RouteAction, RouteCall, RouteEvent, RouteMember, RouteSettings,
};
