//! Says statements to the daemons through the operators' program.

use std::error::Error;
use std::io::Write;
use std::process::Command;

use rattanarch_standins::Fleet;
use rattanarch_standins::Program;

/// The operators' program, told where the daemons are.
pub(crate) struct Operator {
    program: Program,
    addresses: String,
    token: &'static str,
}

impl Operator {
    /// An operator of the shared rota, at one daemon of each service.
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

    /// Says a statement and shows the answer.
    pub(crate) fn say(
        &self,
        output: &mut impl Write,
        statement: &str,
    ) -> Result<(), Box<dyn Error>> {
        writeln!(output, "  $ rattanarch '{statement}'")?;
        let mut command = Command::new(self.program.path());
        command.env("RATTANARCH_AT", &self.addresses).env("RATTANARCH_TOKEN", self.token);
        let answer = command.arg(statement).output()?;
        for bytes in [&answer.stdout, &answer.stderr] {
            for line in String::from_utf8_lossy(bytes).lines() {
                writeln!(output, "    {line}")?;
            }
        }
        if answer.status.success() {
            return Ok(());
        }
        Err(format!("`rattanarch '{statement}'` ended with {}", answer.status).into())
    }
}
