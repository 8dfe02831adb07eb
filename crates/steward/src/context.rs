//! What all services of a steward share.

use std::cell::RefCell;
use std::rc::Rc;

use base::prelude::*;
use kernel::{MonotonicClock, ServiceRegistry, StopSignal};
use peers::{FleetDesk, FleetSelf, PeerEndpoint};
use settings::StewardSettings;

use crate::change_bell::ChangeBell;
use kernel::MetricCounters;

/// The shared state of one steward process; services hold it by [`Rc`].
pub struct StewardContext {
    /// The process's settings.
    pub settings: StewardSettings,
    /// The process's clock.
    pub clock: MonotonicClock,
    /// Names of the services.
    pub registry: ServiceRegistry,
    /// The way to other processes.
    pub peers: PeerEndpoint,
    /// What is counted.
    pub counters: MetricCounters,
    /// Rings at each change of the fleet's state.
    pub bell: ChangeBell,
    /// Raised when the process stops serving.
    pub stop: StopSignal,
    incarnation: VmIncarnation,
    desk: RefCell<FleetDesk>,
}

impl StewardContext {
    /// Puts the shared state together.
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
        let desk = RefCell::new(FleetDesk::new(clock.now(), own, settings.digest_interval));
        Rc::new(Self {
            settings,
            clock,
            registry: ServiceRegistry::new(),
            peers,
            counters,
            bell: ChangeBell::default(),
            stop: StopSignal::new(),
            incarnation,
            desk,
        })
    }

    /// The present instant.
    #[must_use]
    pub fn now(&self) -> TimePoint {
        self.clock.now()
    }

    /// This start of the process.
    #[must_use]
    pub fn incarnation(&self) -> VmIncarnation {
        self.incarnation
    }

    /// Reads the fleet's state.
    pub fn look<T>(&self, read: impl FnOnce(&FleetDesk) -> T) -> T {
        read(&self.desk.borrow())
    }

    /// Tells the fleet's desk of an event, and rings if that changed its state.
    pub fn change<T>(&self, event: impl FnOnce(&mut FleetDesk, TimePoint) -> T) -> T {
        let now = self.now();
        let mut desk = self.desk.borrow_mut();
        let (version, cut_off) = (desk.version(), desk.is_cut_off());
        let outcome = event(&mut desk, now);
        let (changed, cut_off_now) = (desk.version() != version, desk.is_cut_off());
        drop(desk);
        if cut_off != cut_off_now {
            tracing::warn!(step = "fleet", cut_off = cut_off_now, "reach of this machine changed");
        }
        if changed {
            self.bell.ring();
        }
        outcome
    }
}

/// Time since the Unix epoch; it orders this machine's starts, and may be wrong.
fn wall_clock_millis() -> u64 {
    let elapsed = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| elapsed.as_millis() as u64)
}
