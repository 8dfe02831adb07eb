//! What all services of an entry share.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use base::SigningKeys;
use base::prelude::*;
use kernel::{MonotonicClock, ServiceRegistry, StopSignal};
use peers::PeerEndpoint;
use settings::EntrySettings;

use crate::fleet_cache::FleetCache;
use kernel::MetricCounters;

/// The shared state of one entry process; services hold it by [`Rc`].
pub struct EntryContext {
    /// The process's settings.
    pub settings: EntrySettings,
    /// This start of the process.
    pub incarnation: VmIncarnation,
    /// The process's clock.
    pub clock: MonotonicClock,
    /// Names of the services.
    pub registry: ServiceRegistry,
    /// The last view from the steward.
    pub fleet: RefCell<FleetCache>,
    /// Keys for home tags and cursors.
    pub keys: SigningKeys,
    /// The way to other processes.
    pub peers: PeerEndpoint,
    /// What is counted.
    pub counters: MetricCounters,
    /// Raised when the process stops: no new callers.
    pub stop: StopSignal,
    /// Calls that are served now.
    calls: Cell<u32>,
}

impl EntryContext {
    /// Puts the shared state together.
    #[must_use]
    pub fn new(
        settings: EntrySettings,
        incarnation: VmIncarnation,
        keys: SigningKeys,
        peers: PeerEndpoint,
        counters: MetricCounters,
    ) -> Rc<Self> {
        Rc::new(Self {
            settings,
            incarnation,
            clock: MonotonicClock::new(),
            registry: ServiceRegistry::new(),
            fleet: RefCell::new(FleetCache::new()),
            keys,
            peers,
            counters,
            stop: StopSignal::new(),
            calls: Cell::new(0),
        })
    }

    /// The present instant.
    #[must_use]
    pub fn now(&self) -> TimePoint {
        self.clock.now()
    }

    /// Calls that are served now.
    #[must_use]
    pub fn calls(&self) -> u32 {
        self.calls.get()
    }

    /// Counts a call until the guard is dropped.
    #[must_use]
    pub fn count_call(self: &Rc<Self>) -> CallGuard {
        self.calls.set(self.calls.get() + 1);
        CallGuard { context: Rc::clone(self) }
    }
}

/// Keeps a call counted as served.
pub struct CallGuard {
    context: Rc<EntryContext>,
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        self.context.calls.set(self.context.calls.get() - 1);
    }
}
