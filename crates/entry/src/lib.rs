//! The entry: callers' requests, from the lookup of an address to the last token.

mod api;
mod booking_handover;
mod bookings;
mod callers;
mod completions;
mod context;
mod counters;
mod delivery;
mod engine_reader;
mod error;
mod fleet_cache;
mod generation;
mod lookup;
mod peer_server;
mod plain;
mod process;
mod refusal;
mod router;
mod view_client;

pub use error::{EntryError, Result};
pub use lookup::choose_entries;
pub use process::run_entry;
