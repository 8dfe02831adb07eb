//! The platform's VM list, read late by its lag.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use base::{TimePoint, TimeSpan, VmId, VmRecord, VmState};
use hyper::{Method, StatusCode};
use kernel::MonotonicClock;
use serde::{Deserialize, Serialize};
use serde_json::json;
use web::{WebRequest, WebResponse};

use crate::reply::{error_reply, no_route, ok_reply, read_json};

/// Body of `GET /vms` and `PUT /vms`.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct VmTable {
    /// All VMs.
    pub vms: Vec<VmRecord>,
}

/// Body of `POST /fault`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmFault {
    /// Every read is answered by 503.
    Outage(bool),
    /// Lag of reads, in milliseconds.
    LagMs(u64),
}

/// What a list starts with.
#[derive(Debug, Clone, Default)]
pub struct VmSettings {
    /// Lag of reads.
    pub lag: TimeSpan,
    /// The VMs at the start; they are read without lag.
    pub table: VmTable,
}

/// Body of `POST /vms/VM`.
#[derive(Deserialize)]
struct StateChange {
    state: NewState,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum NewState {
    Live,
    Leaving,
    Gone,
}

/// The list; clones share it.
#[derive(Clone)]
pub struct VmFake {
    clock: MonotonicClock,
    lag: Rc<Cell<TimeSpan>>,
    outage: Rc<Cell<bool>>,
    /// Every version with the time since which it holds, oldest first; never empty.
    versions: Rc<RefCell<Vec<(TimePoint, VmTable)>>>,
}

impl VmFake {
    /// A list of the given VMs.
    #[must_use]
    pub fn new(settings: VmSettings) -> Self {
        Self {
            clock: MonotonicClock::new(),
            lag: Rc::new(Cell::new(settings.lag)),
            outage: Rc::default(),
            versions: Rc::new(RefCell::new(vec![(TimePoint::default(), settings.table)])),
        }
    }

    /// Switches a fault.
    pub fn set_fault(&self, fault: VmFault) {
        match fault {
            VmFault::Outage(outage) => self.outage.set(outage),
            VmFault::LagMs(millis) => self.lag.set(TimeSpan::millis(millis)),
        }
    }

    /// Answers one request.
    pub async fn handle(self, request: WebRequest) -> WebResponse {
        let method = request.method().clone();
        let path = request.uri().path().to_owned();
        let answer = match (&method, path.as_str()) {
            (&Method::GET, "/vms") => Ok(self.read()),
            (&Method::PUT, "/vms") => read_json(request).await.map(|table| {
                self.replace(table);
                ok_reply(&json!({}))
            }),
            (&Method::POST, "/fault") => read_json(request).await.map(|fault| {
                self.set_fault(fault);
                ok_reply(&json!({}))
            }),
            (&Method::POST, _) => match path.strip_prefix("/vms/") {
                Some(vm) => read_json(request).await.map(|change| self.change(vm, &change)),
                None => Err(no_route(&method, &path)),
            },
            _ => Err(no_route(&method, &path)),
        };
        answer.unwrap_or_else(|refusal| refusal)
    }

    fn read(&self) -> WebResponse {
        if self.outage.get() {
            return error_reply(StatusCode::SERVICE_UNAVAILABLE, "the VM list is unavailable");
        }
        let seen = self.clock.now() - self.lag.get();
        let versions = self.versions.borrow();
        let visible = versions.iter().rev().find(|(since, _)| *since <= seen);
        ok_reply(&visible.unwrap_or(&versions[0]).1)
    }

    fn replace(&self, table: VmTable) {
        self.versions.borrow_mut().push((self.clock.now(), table));
    }

    fn change(&self, vm: &str, change: &StateChange) -> WebResponse {
        let mut table = self.newest();
        let Some(at) = table.vms.iter().position(|record| record.vm.as_str() == vm) else {
            return error_reply(StatusCode::NOT_FOUND, "no such VM");
        };
        match change.state {
            NewState::Live => table.vms[at].state = VmState::Live,
            NewState::Leaving => table.vms[at].state = VmState::Leaving,
            NewState::Gone => drop(table.vms.remove(at)),
        }
        self.replace(table);
        ok_reply(&json!({}))
    }

    fn newest(&self) -> VmTable {
        self.versions.borrow().last().map(|(_, table)| table.clone()).unwrap_or_default()
    }
}

impl VmTable {
    /// The line of one VM.
    #[must_use]
    pub fn get(&self, vm: &VmId) -> Option<&VmRecord> {
        self.vms.iter().find(|record| record.vm == *vm)
    }
}
