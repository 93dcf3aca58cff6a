//! The command line.

use gumdrop::Options as GumdropOptions;

/// Asks a rattanarch daemon what holds, and tells it what should hold.
///
/// Without a statement it reads a script from standard input, or statements one by one when that
/// is a terminal. `rattanarch check FILE` checks a daemon's settings.
#[derive(Clone, Debug, Default, GumdropOptions)]
pub struct Options {
    /// Prints this help.
    pub help: bool,
    /// Daemon's operator address, such as http://10.0.0.1:8300; may be given several times, the
    /// first that answers is used. Default: RATTANARCH_AT, separated by commas.
    #[options(meta = "URL", no_short)]
    pub at: Vec<String>,
    /// File that holds the operator's token. Default: the token in RATTANARCH_TOKEN.
    #[options(meta = "FILE", no_short)]
    pub token_file: Option<String>,
    /// Prints answers as JSON, one a line.
    #[options(no_short)]
    pub json: bool,
    /// Runs the statements of a file; - for standard input. Stops at the first that fails.
    #[options(meta = "FILE", no_short)]
    pub script: Option<String>,
    /// Repeats a command whose outcome is unknown, under its write id.
    #[options(meta = "N", no_short)]
    pub write_id: Option<u64>,
    /// One statement; quote it, or give it as several words.
    #[options(free)]
    pub statement: Vec<String>,
}
