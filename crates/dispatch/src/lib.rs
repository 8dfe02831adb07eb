//! Connects the routing state of the `route` crate, which performs no I/O, to the tasks that
//! run the calls of a process.

mod call_dispatcher;
mod call_handle;

pub use call_dispatcher::{CallDispatcher, RouteCommand};
pub use call_handle::CallHandle;
