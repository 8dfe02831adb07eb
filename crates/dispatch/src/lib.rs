//! Binds the routing desk, which performs no I/O, to the tasks of a process's calls.

mod call_dispatcher;
mod call_handle;

pub use call_dispatcher::{CallDispatcher, RouteCommand};
pub use call_handle::CallHandle;
