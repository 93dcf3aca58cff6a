//! Runs statements with the operators' program.

use std::error::Error;
use std::io::Write;
use std::process::Command;

use rattanarch_standins::Fleet;
use rattanarch_standins::Program;

/// Operators' program with the addresses of the daemons and a token.
pub(crate) struct Operator {
    program: Program,
    addresses: String,
    token: &'static str,
}

impl Operator {
    /// Uses the shared operator account and one daemon of each service.
    pub(crate) fn new(fleet: &Fleet) -> Result<Self, Box<dyn Error>> {
        let mut services = Vec::new();
        let mut addresses = Vec::new();
        for slot in &fleet.slots {
            if !services.contains(&slot.service()) {
                services.push(slot.service());
                addresses.push(format!("http://{}", slot.operator_address()));
            }
        }
        let program = Program::find("rattanarch")?;
        Ok(Self { program, addresses: addresses.join(","), token: fleet.operator_token() })
    }

    /// Runs a statement and prints its output.
    pub(crate) fn run_statement(
        &self,
        output: &mut impl Write,
        statement: &str,
    ) -> Result<(), Box<dyn Error>> {
        writeln!(output, "  $ rattanarch '{statement}'")?;
        let mut command = Command::new(self.program.path());
        command.env("RATTANARCH_AT", &self.addresses).env("RATTANARCH_TOKEN", self.token);
        let result = command.arg(statement).output()?;
        for bytes in [&result.stdout, &result.stderr] {
            for line in String::from_utf8_lossy(bytes).lines() {
                writeln!(output, "    {line}")?;
            }
        }
        if result.status.success() {
            return Ok(());
        }
        Err(format!("`rattanarch '{statement}'` exited with {}", result.status).into())
    }
}
