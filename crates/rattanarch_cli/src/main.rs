//! Binary of the operators' command line.

use std::io::stderr;
use std::io::stdin;
use std::io::stdout;
use std::process::ExitCode;

use gumdrop::Options as _;
use rattanarch_cli::Options;
use rattanarch_cli::run;

fn main() -> ExitCode {
    let options = Options::parse_args_default_or_exit();
    let exit = run(&options, &mut stdin().lock(), &mut stdout().lock(), &mut stderr().lock());
    exit.into()
}
