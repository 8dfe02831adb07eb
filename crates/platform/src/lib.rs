//! Clients of the platform: the log and the VM list.

mod error;
mod log_client;
mod vm_list_client;

pub use base::{LogPage, LogRecord};
pub use error::{PlatformError, Result};
pub use log_client::{AppendOutcome, LogClient};
pub use vm_list_client::VmListClient;
