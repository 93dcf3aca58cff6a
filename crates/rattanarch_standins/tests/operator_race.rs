//! Two operators change the same object through two daemons at the same time: exactly one change is
//! accepted, and the other operator gets a conflict that names the winner and its command.
//!
//! Also: an operator must not change the configuration of another firm.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::process::Command;
use std::process::Output;
use std::process::Stdio;
use std::sync::Barrier;
use std::thread;
use std::time::Duration;

use rattanarch_standins::Fleet;
use rattanarch_standins::Program;
use rattanarch_standins::ServicePlan;
use rattanarch_types::Configuration;

/// Maximum wait for the fleet to serve; allows for a busy machine.
const TIMEOUT: Duration = Duration::from_secs(60);

/// Number of races, one after the other.
const ROUNDS: usize = 8;

fn program(fleet: &Fleet, operator: &str, slot: usize) -> Command {
    let program = Program::find("rattanarch").expect("a binary");
    let address = format!("http://{}", fleet.slots[slot].operator_address());
    let mut command = Command::new(program.path());
    command.env("RATTANARCH_AT", address);
    command.env("RATTANARCH_TOKEN", fleet.token_of(operator).expect("a token"));
    command
}

/// Shows the data centres, waits until the other operator has done so too, and runs a statement. Returns
/// what the program printed for the statement, and its errors.
fn show_and_run(command: &mut Command, barrier: &Barrier, statement: &str) -> (String, String) {
    let command = command.arg("--interactive").stdin(Stdio::piped());
    let mut child =
        command.stdout(Stdio::piped()).stderr(Stdio::piped()).spawn().expect("a process");
    let mut input = child.stdin.take().expect("a pipe");
    let mut output = BufReader::new(child.stdout.take().expect("a pipe"));
    writeln!(input, "show data centres for co-op").expect("the program reads its input");
    let mut line = String::new();
    while !line.starts_with("firm ") {
        line.clear();
        assert!(output.read_line(&mut line).expect("a line") > 0, "the program ended");
    }
    barrier.wait();
    writeln!(input, "{statement}").expect("the program reads its input");
    drop(input);
    let mut printed = String::new();
    output.read_to_string(&mut printed).expect("text");
    let mut errors = String::new();
    child.stderr.take().expect("a pipe").read_to_string(&mut errors).expect("text");
    child.wait().expect("the program ends");
    (printed, errors)
}

fn configuration(fleet: &Fleet, firm: &str) -> Configuration {
    let object = fleet.platform().get(&format!("configuration/{firm}")).expect("an object");
    serde_json::from_value(object.value).expect("a configuration")
}

/// Runs one race and returns the name of the winner.
fn race(fleet: &Fleet, round: usize) -> &'static str {
    let barrier = Barrier::new(2);
    let run = |operator: &'static str, slot: usize| {
        let statement = format!("change data-centre nordkuehl region {operator}-{round} for co-op");
        show_and_run(&mut program(fleet, operator, slot), &barrier, &statement)
    };
    let (first, second) = thread::scope(|scope| {
        let second = scope.spawn(|| run("rota-two", 1));
        (run("rota", 0), second.join().expect("no panic"))
    });
    let won = |output: &(String, String)| output.0.starts_with("accepted");
    assert_ne!(won(&first), won(&second), "{first:?}; {second:?}");
    let (winner, loser) = if won(&first) { ("rota", &second.1) } else { ("rota-two", &first.1) };
    let command = format!("change data-centre nordkuehl region {winner}-{round}");
    assert!(loser.contains(&format!("by {winner}")), "{loser}");
    assert!(loser.contains(&command), "{loser}");
    winner
}

#[test]
fn one_wins() {
    let fleet = Fleet::start(&[ServicePlan::trade_desk(4)]).unwrap();
    fleet.wait_serving(TIMEOUT).unwrap();
    let winners: Vec<_> = (0..ROUNDS).map(|round| race(&fleet, round)).collect();
    eprintln!("winners: {winners:?}");
    let after = configuration(&fleet, "co-op");
    let entries = after.trail.entries;
    let operators: Vec<_> = entries.iter().map(|entry| &*entry.operator).collect();
    assert_eq!(operators, winners, "the trail differs from what the operators were told");
    let versions: Vec<_> = entries.iter().map(|entry| entry.after).collect();
    let expected: Vec<_> = (2..).take(ROUNDS).collect();
    assert_eq!(versions, expected);
}

fn run_statement(fleet: &Fleet, operator: &str, slot: usize, statement: &str) -> Output {
    let output = program(fleet, operator, slot).arg(statement).output().expect("the program runs");
    eprintln!("{operator}, {statement}: {}", String::from_utf8_lossy(&output.stderr));
    output
}

#[test]
fn other_firm() {
    let plans = [ServicePlan::trade_desk(2), ServicePlan::reservas(2)];
    let fleet = Fleet::start(&plans).unwrap();
    fleet.wait_serving(TIMEOUT).unwrap();
    let before = configuration(&fleet, "aguas-libres");
    let statements = [
        "take out upstream reservas-1 in reservas twice for aguas-libres",
        "take out data centre centro-a twice for aguas-libres",
        "remove service reservas twice for aguas-libres",
    ];
    for (slot, statement) in [0, 2].into_iter().flat_map(|slot| statements.map(|s| (slot, s))) {
        let output = run_statement(&fleet, "co-op-desk", slot, statement);
        assert!(!output.status.success(), "{statement} at slot {slot} was accepted");
        let errors = String::from_utf8_lossy(&output.stderr);
        assert!(errors.contains("may not act for firm \"aguas-libres\""), "{errors}");
    }
    assert_eq!(configuration(&fleet, "aguas-libres"), before);
    // The same operator may change the configuration of its own firm.
    let own = "take out data centre nordkuehl twice for co-op";
    assert!(run_statement(&fleet, "co-op-desk", 0, own).status.success());
    assert_eq!(configuration(&fleet, "co-op").trail.entries.len(), 1);
}
