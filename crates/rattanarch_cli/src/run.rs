//! The program.

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
use crate::render::exit_of;
use crate::render::render;
use crate::session::Session;
use crate::session::Unanswered;

/// Environment variable with the daemons' addresses, separated by commas.
const AT_VARIABLE: &str = "RATTANARCH_AT";
/// Environment variable with the operator's token.
const TOKEN_VARIABLE: &str = "RATTANARCH_TOKEN";
/// What asks for a statement at a terminal.
const PROMPT: &str = "rattanarch> ";

/// Runs the program on its command line, input and outputs.
pub fn run(
    options: &Options,
    input: &mut dyn BufRead,
    output: &mut dyn Write,
    errors: &mut dyn Write,
) -> Exit {
    if let [verb, file] = &options.statement[..]
        && verb == "check"
    {
        return check(file, output, errors);
    }
    let client = match client(options) {
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
        return program.interact(input);
    }
    match script_text(options, input) {
        Ok(text) => program.run_script(&text, options.write_id),
        Err(reason) => {
            let _ = writeln!(program.errors, "{reason}");
            Exit::Usage
        }
    }
}

fn client(options: &Options) -> Result<Client, String> {
    let mut addresses = options.at.clone();
    if addresses.is_empty() {
        let listed = env::var(AT_VARIABLE).unwrap_or_default();
        let listed = listed.split(',').map(str::trim).filter(|address| !address.is_empty());
        addresses = listed.map(str::to_owned).collect();
    }
    if addresses.is_empty() {
        return Err(format!("no daemon given: use --at URL or {AT_VARIABLE}"));
    }
    let token = match &options.token_file {
        Some(file) => fs::read_to_string(file).map_err(|error| format!("{file}: {error}"))?,
        None => env::var(TOKEN_VARIABLE)
            .map_err(|_| format!("no token given: use --token-file FILE or {TOKEN_VARIABLE}"))?,
    };
    Ok(Client::new(addresses, &token))
}

/// Text of the statements of a script, of the command line or of standard input.
fn script_text(options: &Options, input: &mut dyn BufRead) -> Result<String, String> {
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

struct Program<'a> {
    session: Session,
    json: bool,
    output: &'a mut dyn Write,
    errors: &'a mut dyn Write,
}

impl Program<'_> {
    /// Runs the statements of `text` up to the first that fails. Nothing runs if one is malformed.
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
            let exit = self.say(line.statement, write_id);
            if exit != Exit::Done {
                return exit;
            }
        }
        Exit::Done
    }

    /// Runs statements line by line until the input ends or says `quit`.
    fn interact(&mut self, input: &mut dyn BufRead) -> Exit {
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
                    self.say(statement, None);
                }
                Err(error) => {
                    let _ = writeln!(self.errors, "{}", error.render(&line));
                }
            }
        }
    }

    fn say(&mut self, statement: Statement, write_id: Option<u64>) -> Exit {
        match self.session.say(statement, write_id) {
            Ok(answer) => self.print(&answer),
            Err(unanswered) => self.complain(&unanswered),
        }
    }

    fn print(&mut self, answer: &OperatorResponse) -> Exit {
        let exit = exit_of(answer);
        let text = if self.json {
            serde_json::to_string(answer).unwrap_or_default() + "\n"
        } else {
            render(answer)
        };
        let is_good = exit == Exit::Done || self.json;
        let target = if is_good { &mut self.output } else { &mut self.errors };
        let _ = target.write_all(text.as_bytes()).and_then(|()| target.flush());
        exit
    }

    fn complain(&mut self, unanswered: &Unanswered) -> Exit {
        let _ = writeln!(self.errors, "{}", unanswered.error);
        match (&unanswered.error, unanswered.write_id) {
            (CallError::Refused { .. }, _) => Exit::Usage,
            (CallError::NotSent(_), _) => Exit::Unreachable,
            (CallError::NoAnswer(_), None) => Exit::Refused,
            (CallError::NoAnswer(_), Some(write_id)) => {
                let hint = "to settle it, repeat it with --write-id";
                let _ = writeln!(self.errors, "unknown whether accepted; {hint} {write_id}");
                Exit::Unknown
            }
        }
    }
}
