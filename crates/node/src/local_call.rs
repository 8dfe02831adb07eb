//! The calls of this node that are assigned to runners or queued for one.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use base::prelude::*;
use kernel::StopSignal;
use route::CallId;

/// A call of this node that is assigned to a runner or queued for one.
pub(crate) struct LocalCall {
    /// The service of the call.
    pub(crate) service: ServiceName,
    /// The assigned runner; `None` while the call is queued.
    pub(crate) runner: Option<RunnerId>,
    /// The runner that keeps a copy of the call's memory.
    pub(crate) backup: Option<RunnerId>,
    /// Prompt tokens plus the tokens generated so far.
    pub(crate) tokens: u32,
    /// Whether the first tokens have arrived, so that prefill is over.
    pub(crate) started: bool,
    /// Raised when the assigned runner announces that it leaves.
    pub(crate) leaving: StopSignal,
}

/// The calls of this node, shared by the router and what accounts for them.
pub(crate) type LocalCalls = Rc<RefCell<BTreeMap<CallId, LocalCall>>>;
