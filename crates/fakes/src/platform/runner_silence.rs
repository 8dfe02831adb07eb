//! A runner that falls silent for a moment and goes on.

use std::time::Duration;

use compio::time::sleep;
use kernel::StopSignal;

use super::runner_fake::RunnerFake;
use super::runner_state::RunnerState;

/// Pause between two looks at whether a silent runner goes on.
const LOOK_EVERY: Duration = Duration::from_millis(5);

impl RunnerFake {
    /// It neither answers nor makes events until [`Self::go_on`]. Its connections stay open, and new
    /// ones come about.
    pub fn fall_silent(&self) {
        self.state().silent.set(true);
    }

    /// The same, but new connections hang.
    pub async fn fall_silent_unconnected(&self) {
        self.fall_silent();
        self.stop_accepting().await;
    }

    /// Its runs make no events, but are stopped as ordered.
    pub fn preempt_runs(&self, preempted: bool) {
        self.state().preempted.set(preempted);
    }

    /// It goes on where it fell silent.
    pub fn go_on(&self) {
        self.state().silent.set(false);
        self.resume_accepting();
    }
}

impl RunnerState {
    /// Waits until the run is not preempted, or is stopped.
    pub(super) async fn wait_while_preempted(&self, stopped: &StopSignal) {
        while self.preempted.get() && !stopped.is_raised() {
            sleep(LOOK_EVERY).await;
        }
    }

    /// Waits until the runner is not silent.
    pub(super) async fn wait_while_silent(&self) {
        while self.silent.get() {
            sleep(LOOK_EVERY).await;
        }
    }
}
