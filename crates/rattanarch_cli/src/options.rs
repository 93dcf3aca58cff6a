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
    /// Daemons' operator addresses, such as `http://10.0.0.1:8300`; the first that answers is used.
    #[options(
        meta = "URL",
        no_short,
        help = "operator address of a daemon, such as http://10.0.0.1:8300; may be given several \
                times, the first that answers is used [default: RATTANARCH_AT, with commas]"
    )]
    pub at: Vec<String>,
    /// File that holds the operator's token.
    #[options(
        meta = "FILE",
        no_short,
        help = "file that holds the operator's token [default: the token in RATTANARCH_TOKEN]"
    )]
    pub token_file: Option<String>,
    /// Reads statements one by one, also when standard input is no terminal.
    pub interactive: bool,
    /// Prints answers as JSON, one a line.
    #[options(no_short)]
    pub json: bool,
    /// Runs the statements of a file, or `-` for standard input; stops at the first that fails.
    #[options(meta = "FILE", no_short)]
    pub script: Option<String>,
    /// Repeats a command whose outcome is unknown, under its write id.
    #[options(meta = "N", no_short)]
    pub write_id: Option<u64>,
    /// One statement; quote it, or give it as several words.
    #[options(free)]
    pub statement: Vec<String>,
}
