//! The state that all services of a steward share.

use std::cell::RefCell;
use std::rc::Rc;

use base::prelude::*;
use kernel::{MonotonicClock, ServiceRegistry, StopSignal};
use peers::{FleetDesk, FleetSelf, PeerEndpoint};
use settings::StewardSettings;

use crate::change_notifier::ChangeNotifier;
use kernel::MetricCounters;

/// The shared state of one steward process; services hold it by [`Rc`].
pub struct StewardContext {
    /// The process's settings.
    pub settings: StewardSettings,
    /// The process's clock.
    pub clock: MonotonicClock,
    /// Names of the services.
    pub registry: ServiceRegistry,
    /// The transport to other processes.
    pub peers: PeerEndpoint,
    /// The process's metrics.
    pub counters: MetricCounters,
    /// Notifies of each change of the fleet's state.
    pub changes: ChangeNotifier,
    /// Raised when the process stops serving.
    pub stop: StopSignal,
    incarnation: VmIncarnation,
    fleet: RefCell<FleetDesk>,
}

impl StewardContext {
    /// Builds the shared state.
    #[must_use]
    pub fn new(
        settings: StewardSettings,
        peers: PeerEndpoint,
        counters: MetricCounters,
    ) -> Rc<Self> {
        let clock = MonotonicClock::new();
        let incarnation = VmIncarnation(rand::random_range(1..=u64::MAX));
        let own = FleetSelf {
            vm: settings.common.vm.clone(),
            place: settings.common.place.clone(),
            steward: peers.address(),
            incarnation,
            generation: wall_clock_millis(),
        };
        let fleet = RefCell::new(FleetDesk::new(clock.now(), own, settings.digest_interval));
        Rc::new(Self {
            settings,
            clock,
            registry: ServiceRegistry::new(),
            peers,
            counters,
            changes: ChangeNotifier::default(),
            stop: StopSignal::new(),
            incarnation,
            fleet,
        })
    }

    /// The present instant.
    #[must_use]
    pub fn now(&self) -> TimePoint {
        self.clock.now()
    }

    /// The incarnation of the process.
    #[must_use]
    pub fn incarnation(&self) -> VmIncarnation {
        self.incarnation
    }

    /// Reads the fleet's state.
    pub fn read_fleet<T>(&self, read: impl FnOnce(&FleetDesk) -> T) -> T {
        read(&self.fleet.borrow())
    }

    /// Applies an event to the fleet's state, and notifies if that changed it.
    pub fn update_fleet<T>(&self, event: impl FnOnce(&mut FleetDesk, TimePoint) -> T) -> T {
        let now = self.now();
        let mut fleet = self.fleet.borrow_mut();
        let (version, cut_off) = (fleet.version(), fleet.is_cut_off());
        let outcome = event(&mut fleet, now);
        let (changed, cut_off_now) = (fleet.version() != version, fleet.is_cut_off());
        drop(fleet);
        if cut_off != cut_off_now {
            tracing::warn!(step = "fleet", cut_off = cut_off_now, "reach of this machine changed");
        }
        if changed {
            self.changes.notify();
        }
        outcome
    }
}

/// Time since the Unix epoch; it orders this machine's incarnations, and may be wrong.
fn wall_clock_millis() -> u64 {
    let elapsed = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| elapsed.as_millis() as u64)
}
