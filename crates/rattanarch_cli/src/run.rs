//! Runs the program.

use std::env;
use std::fs;
use std::io::BufRead;
use std::io::IsTerminal;
use std::io::Write;
use std::io::stdin;

use rattanarch_config::OperatorResponse;
use rattanarch_language::Statement;
use rattanarch_language::parse;
use rattanarch_language::parse_script;

use crate::Exit;
use crate::Options;
use crate::check::check;
use crate::client::CallError;
use crate::client::Client;
use crate::explain::explain;
use crate::explain::is_explain;
use crate::render::exit_status;
use crate::render::render;
use crate::session::Session;
use crate::session::StatementError;

/// Environment variable with the operator addresses of daemons, separated by commas.
const ADDRESSES_VARIABLE: &str = "RATTANARCH_AT";
/// Environment variable with the operator's token.
const TOKEN_VARIABLE: &str = "RATTANARCH_TOKEN";
/// Prompt of an interactive session.
const PROMPT: &str = "rattanarch> ";

/// Runs the program with `options` and returns its exit status. Statements may come from `input`.
pub fn run(
    options: &Options,
    input: &mut dyn BufRead,
    output: &mut dyn Write,
    errors: &mut dyn Write,
) -> Exit {
    if let [subcommand, file] = &options.statement[..]
        && subcommand == "check"
    {
        return check(file, output, errors);
    }
    if is_explain(options) {
        return explain(options, output, errors);
    }
    if options.host.is_some() || options.key.is_some() || !options.header.is_empty() {
        let _ = writeln!(errors, "--host, --key and --header are for explain");
        return Exit::Usage;
    }
    let client = match create_client(options, true) {
        Ok(client) => client,
        Err(reason) => {
            let _ = writeln!(errors, "{reason}");
            return Exit::Usage;
        }
    };
    let has_statement = options.script.is_some() || !options.statement.is_empty();
    let is_interactive = !has_statement && (options.interactive || stdin().is_terminal());
    let session = Session::new(client, is_interactive);
    let mut program = Program { session, json: options.json, output, errors };
    if is_interactive {
        return program.run_interactive(input);
    }
    match read_statements(options, input) {
        Ok(text) => program.run_script(&text, options.write_id),
        Err(reason) => {
            let _ = writeln!(program.errors, "{reason}");
            Exit::Usage
        }
    }
}

/// Creates a client for the daemons and the token in the options or the environment.
///
/// # Errors
/// A message for the operator if no daemon is given, the token file cannot be read, or no token is given although
/// `needs_token`.
pub(crate) fn create_client(options: &Options, needs_token: bool) -> Result<Client, String> {
    let mut addresses = options.at.clone();
    if addresses.is_empty() {
        let listed = env::var(ADDRESSES_VARIABLE).unwrap_or_default();
        let listed = listed.split(',').map(str::trim).filter(|address| !address.is_empty());
        addresses = listed.map(str::to_owned).collect();
    }
    if addresses.is_empty() {
        return Err(format!("no daemon given: use --at URL or {ADDRESSES_VARIABLE}"));
    }
    let token = match &options.token_file {
        Some(file) => Some(fs::read_to_string(file).map_err(|error| format!("{file}: {error}"))?),
        None => env::var(TOKEN_VARIABLE).ok(),
    };
    if token.is_none() && needs_token {
        return Err(format!("no token given: use --token-file FILE or {TOKEN_VARIABLE}"));
    }
    Ok(Client::new(addresses, token.as_deref()))
}

/// Reads the statements: from the script, the command line or standard input.
///
/// # Errors
/// A message for the operator if the script or standard input cannot be read.
fn read_statements(options: &Options, input: &mut dyn BufRead) -> Result<String, String> {
    match options.script.as_deref() {
        None if !options.statement.is_empty() => return Ok(options.statement.join(" ")),
        Some(file) if file != "-" => {
            return fs::read_to_string(file).map_err(|error| format!("{file}: {error}"));
        }
        _ => {}
    }
    let mut text = String::new();
    input.read_to_string(&mut text).map_err(|error| format!("standard input: {error}"))?;
    Ok(text)
}

/// Session and the outputs to which its responses are written.
struct Program<'a> {
    session: Session,
    json: bool,
    output: &'a mut dyn Write,
    errors: &'a mut dyn Write,
}

impl Program<'_> {
    /// Runs the statements in `text` up to the first that fails. Runs none if one of them is malformed.
    fn run_script(&mut self, text: &str, write_id: Option<u64>) -> Exit {
        let lines = match parse_script(text) {
            Ok(lines) => lines,
            Err(error) => {
                let _ = writeln!(self.errors, "{}", error.render(text));
                return Exit::Usage;
            }
        };
        if lines.is_empty() {
            let _ = writeln!(self.errors, "no statement given");
            return Exit::Usage;
        }
        if write_id.is_some() && lines.len() > 1 {
            let _ = writeln!(self.errors, "--write-id is for one command");
            return Exit::Usage;
        }
        for line in lines {
            let exit = self.run_statement(line.statement, write_id);
            if exit != Exit::Done {
                return exit;
            }
        }
        Exit::Done
    }

    /// Runs statements line by line until the input ends or a line is `quit` or `exit`.
    fn run_interactive(&mut self, input: &mut dyn BufRead) -> Exit {
        let mut line = String::new();
        loop {
            let _ = write!(self.errors, "{PROMPT}").and_then(|()| self.errors.flush());
            line.clear();
            let length = input.read_line(&mut line).unwrap_or(0);
            if length == 0 || matches!(line.trim(), "quit" | "exit") {
                return Exit::Done;
            }
            if line.trim().is_empty() {
                continue;
            }
            match parse(&line) {
                Ok(statement) => {
                    self.run_statement(statement, None);
                }
                Err(error) => {
                    let _ = writeln!(self.errors, "{}", error.render(&line));
                }
            }
        }
    }

    fn run_statement(&mut self, statement: Statement, write_id: Option<u64>) -> Exit {
        match self.session.run(statement, write_id) {
            Ok(response) => self.print_response(&response),
            Err(error) => self.print_error(&error),
        }
    }

    fn print_response(&mut self, response: &OperatorResponse) -> Exit {
        let exit = exit_status(response);
        let text = if self.json {
            serde_json::to_string(response).unwrap_or_default() + "\n"
        } else {
            render(response)
        };
        let is_output = exit == Exit::Done || self.json;
        let target = if is_output { &mut self.output } else { &mut self.errors };
        let _ = target.write_all(text.as_bytes()).and_then(|()| target.flush());
        exit
    }

    fn print_error(&mut self, failed: &StatementError) -> Exit {
        let _ = writeln!(self.errors, "{}", failed.error);
        match (&failed.error, failed.write_id) {
            (CallError::Refused { .. }, _) => Exit::Usage,
            (CallError::NotSent(_), _) => Exit::Unreachable,
            (CallError::Unsupported(_), _) => Exit::Unsupported,
            (CallError::NoResponse(_), None) => Exit::Refused,
            (CallError::NoResponse(_), Some(write_id)) => {
                let hint = "to learn the outcome, repeat it with --write-id";
                let _ = writeln!(self.errors, "unknown whether accepted; {hint} {write_id}");
                Exit::Unknown
            }
        }
    }
}
