//! Options of the command line.

use gumdrop::Options as GumdropOptions;

/// Queries and configures a fleet of rattanarch daemons.
///
/// Without a statement it reads a script from standard input, or single statements if standard input
/// is a terminal. `rattanarch check FILE` checks a daemon's settings. `rattanarch explain METHOD PATH`
/// tells where a request would be sent, without sending it.
#[derive(Clone, Debug, Default, GumdropOptions)]
pub struct Options {
    /// Prints this help.
    pub help: bool,
    /// Operator addresses of daemons, such as `http://10.0.0.1:8300`; the first that responds is used.
    #[options(
        meta = "URL",
        no_short,
        help = "Operator address of a daemon, such as http://10.0.0.1:8300; may be given several \
                times, the first that responds is used [default: RATTANARCH_AT, separated by commas]"
    )]
    pub at: Vec<String>,
    /// File that contains the operator's token.
    #[options(
        meta = "FILE",
        no_short,
        help = "File that contains the operator's token [default: the token in RATTANARCH_TOKEN]"
    )]
    pub token_file: Option<String>,
    /// Host of the request that is explained.
    #[options(
        meta = "HOST",
        no_short,
        help = "explain: host of the request [default: the only one]"
    )]
    pub host: Option<String>,
    /// Key of the request that is explained, by which services are sliced.
    #[options(
        meta = "K",
        no_short,
        help = "explain: key of the request, by which services are sliced"
    )]
    pub key: Option<String>,
    /// Headers of the request that is explained, as `NAME: VALUE`.
    #[options(
        meta = "HEADER",
        no_short,
        help = "explain: header of the request as 'NAME: VALUE', without credentials; may be given several times"
    )]
    pub header: Vec<String>,
    /// Runs statements line by line, even if standard input is not a terminal.
    pub interactive: bool,
    /// Prints each response as a line of JSON.
    #[options(no_short)]
    pub json: bool,
    /// Runs the statements in a file (`-` for standard input) up to the first that fails.
    #[options(meta = "FILE", no_short)]
    pub script: Option<String>,
    /// Repeats a command that has an unknown outcome, under its write id.
    #[options(meta = "N", no_short)]
    pub write_id: Option<u64>,
    /// Statement, as one quoted argument or as several words.
    #[options(free)]
    pub statement: Vec<String>,
}
