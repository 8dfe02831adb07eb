//! Small stand-ins for everything outside the system, with switchable faults.
//!
//! `docs/TARGETS.md` describes their interfaces, `docs/FAKES.md` their faults.

mod change_bell;
pub mod engine;
pub mod engine_server;
mod error;
mod fake_host;
mod log_fake;
pub mod platform;
mod reply;
mod service_fake;
mod vm_fake;
mod weight_fake;

pub use change_bell::ChangeBell;
pub use error::{FakeError, Result};
pub use fake_host::FakeHost;
pub use log_fake::{LogFake, LogFault, LogOutage, LogSettings};
pub use service_fake::{ServiceFake, ServiceFault, ServiceSettings};
pub use vm_fake::{VmFake, VmFault, VmSettings, VmTable};
pub use weight_fake::{WeightFake, WeightFault, WeightSettings};
