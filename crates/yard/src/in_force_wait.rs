//! Waiting until a record is in force on every live VM.

use std::collections::BTreeSet;

use base::{LogOffset, TimeSpan, VmId, VmRecord, VmRole, VmState};
use kernel::{MonotonicClock, sleep};
use platform::VmListClient;

use crate::fleet_status::{VmStatus, ask_entries};

/// Least time between two looks at the VMs.
const LOOK_PAUSE: TimeSpan = TimeSpan::millis(250);
/// Time between two looks for each line of the VM list, so that a large fleet is not
/// asked harder than a small one.
const LOOK_PAUSE_PER_VM: TimeSpan = TimeSpan::micros(200);

/// Where a record is in force after the wait.
#[derive(Debug)]
pub(crate) enum WaitOutcome {
    /// On all live VMs.
    Everywhere {
        /// How many these are.
        live: usize,
    },
    /// Not on these VMs.
    Late {
        /// How many live VMs there are.
        live: usize,
        /// Those that do not have it, and why.
        late: Vec<VmStatus>,
    },
    /// The VM list cannot be read.
    NoList(String),
}

/// Waits until `offset` is in force on every live VM, at most for `limit`. A VM that had
/// it in force once counts, since no VM goes back.
pub(crate) async fn wait_in_force(
    list: VmListClient,
    offset: LogOffset,
    limit: TimeSpan,
) -> WaitOutcome {
    let clock = MonotonicClock::new();
    let deadline = clock.now() + limit;
    let mut done: BTreeSet<VmId> = BTreeSet::new();
    let mut shown = None;
    loop {
        let vms = list.get().await;
        let lines = vms.as_ref().map_or(0, Vec::len) as u64;
        let pause = LOOK_PAUSE.max(TimeSpan(LOOK_PAUSE_PER_VM.0 * lines));
        let is_over = clock.now() + pause >= deadline;
        match vms {
            Ok(vms) => {
                let (live, late) = look(&vms, offset, &mut done).await;
                if shown.replace(late.len()) != Some(late.len()) {
                    eprintln!("in force on {} of {live} live VMs", live - late.len());
                }
                if late.is_empty() {
                    return WaitOutcome::Everywhere { live };
                }
                if is_over {
                    return WaitOutcome::Late { live, late };
                }
            }
            Err(error) if is_over => return WaitOutcome::NoList(error.to_string()),
            Err(_) => (),
        }
        sleep(pause.into()).await;
    }
}

/// Asks the VMs that are not done; gives the number of live ones and those that lag.
async fn look(
    vms: &[VmRecord],
    offset: LogOffset,
    done: &mut BTreeSet<VmId>,
) -> (usize, Vec<VmStatus>) {
    let live: Vec<&VmRecord> =
        vms.iter().filter(|vm| vm.role == VmRole::Entry && vm.state == VmState::Live).collect();
    let asked = live.iter().filter(|vm| !done.contains(&vm.vm)).copied();
    let (there, late): (Vec<VmStatus>, Vec<VmStatus>) =
        ask_entries(asked).await.into_iter().partition(|status| status.has_in_force(offset));
    done.extend(there.into_iter().map(|status| status.record.vm));
    (live.len(), late)
}
