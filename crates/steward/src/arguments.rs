//! The command line of `yard-steward`.

use std::path::PathBuf;

use argh::FromArgs;

/// The steward of one machine: follows the platform, its peers and its share of the
/// runners, and informs the machine's entries.
#[derive(Debug, FromArgs)]
pub struct StewardArguments {
    /// settings file, JSON with comments
    #[argh(option)]
    pub settings: PathBuf,
    /// a single setting, laid over the file: NAME=VALUE
    #[argh(option, long = "set")]
    pub sets: Vec<String>,
}
