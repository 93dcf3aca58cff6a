//! The `explain` subcommand.

use std::fmt::Write as _;
use std::io::Write;

use rattanarch_config::Table;
use rattanarch_types::ExplainedAdmission;
use rattanarch_types::ExplainedInstance;
use rattanarch_types::ExplainedRefusal;
use rattanarch_types::ExplainedService;
use rattanarch_types::Explanation;
use rattanarch_types::is_credential_header;

use crate::Exit;
use crate::Options;
use crate::client::CallError;
use crate::render::notes_text;
use crate::render::table_text;
use crate::run::create_client;

/// First word of the subcommand.
const SUBCOMMAND: &str = "explain";

const USAGE: &str = "usage: rattanarch [--at URL] explain METHOD PATH [--host HOST] [--key K] \
                     [--header 'NAME: VALUE'] [--json]";

/// Whether the command line is that of this subcommand.
pub(crate) fn is_explain(options: &Options) -> bool {
    words(options).first() == Some(&SUBCOMMAND)
}

/// The words of the command line, which may be quoted as one argument.
fn words(options: &Options) -> Vec<&str> {
    options.statement.iter().flat_map(|argument| argument.split_whitespace()).collect()
}

/// Has a daemon explain where a request would be sent, and prints the explanation.
pub(crate) fn explain(options: &Options, output: &mut dyn Write, errors: &mut dyn Write) -> Exit {
    let client = query(options).and_then(|query| Ok((create_client(options, false)?, query)));
    let (client, query) = match client {
        Ok(prepared) => prepared,
        Err(reason) => {
            let _ = writeln!(errors, "{reason}");
            return Exit::Usage;
        }
    };
    match client.explain(&query) {
        Ok(explanation) => {
            let text = if options.json {
                serde_json::to_string(&explanation).unwrap_or_default() + "\n"
            } else {
                render(&explanation)
            };
            let _ = output.write_all(text.as_bytes()).and_then(|()| output.flush());
            Exit::Done
        }
        Err(error) => {
            let _ = writeln!(errors, "{error}");
            match error {
                CallError::Refused { status: 429, .. } | CallError::NoResponse(_) => Exit::Refused,
                CallError::Refused { .. } => Exit::Usage,
                CallError::NotSent(_) => Exit::Unreachable,
                CallError::Unsupported(_) => Exit::Unsupported,
            }
        }
    }
}

/// The parameters that describe the request to a daemon.
///
/// # Errors
/// A message for the operator if an argument is malformed or has credentials, which must not be sent.
fn query(options: &Options) -> Result<Vec<(&str, &str)>, String> {
    let [_, method, path] = words(options)[..] else { return Err(USAGE.to_owned()) };
    let is_statement =
        options.script.is_some() || options.write_id.is_some() || options.interactive;
    if is_statement {
        return Err(USAGE.to_owned());
    }
    let mut query = vec![("method", method), ("path", path)];
    query.extend(options.host.as_deref().map(|host| ("host", host)));
    query.extend(options.key.as_deref().map(|key| ("key", key)));
    for header in &options.header {
        let Some((name, _)) = header.split_once(':') else {
            return Err("malformed header; it has the form NAME: VALUE".to_owned());
        };
        if is_credential_header(name) {
            return Err(format!("header {name} has credentials, which are not accepted here"));
        }
        query.push(("header", header));
    }
    Ok(query)
}

/// Formats the explanation as text that ends with a newline.
fn render(explanation: &Explanation) -> String {
    let Explanation { instance, data_centre, method, host, path, configuration, .. } = explanation;
    let at = if host.is_empty() { String::new() } else { format!(" at {host}") };
    let mut text = format!(
        "{method} {path}{at}, as {instance} in {data_centre} decides now\n\
         configuration {configuration}, {}\n",
        taken_out_text(explanation)
    );
    if let Some(route) = &explanation.route {
        let _ = writeln!(
            text,
            "route {} {}, rank {}, objective {} ms, timeout {} ms",
            route.name, route.prefix, route.rank, route.objective_ms, route.timeout_ms
        );
    }
    if let Some(refusal) = &explanation.refusal {
        let _ = writeln!(text, "refused: {}", refusal_text(refusal));
    }
    for service in &explanation.services {
        text += &service_text(service);
    }
    text + &notes_text(&explanation.notes)
}

fn taken_out_text(explanation: &Explanation) -> String {
    if explanation.taken_out.is_empty() {
        return "no data centre taken out".to_owned();
    }
    let names = explanation.taken_out.iter().map(|taken_out| match taken_out.age_ms {
        Some(age) => format!("{} (known for {age} ms)", taken_out.data_centre),
        None => taken_out.data_centre.clone(),
    });
    format!("data centres taken out: {}", names.collect::<Vec<_>>().join(", "))
}

fn service_text(service: &ExplainedService) -> String {
    let record = service
        .record
        .map_or_else(|| "no record".to_owned(), |version| format!("record {version}"));
    let slice = service.slice.map(|slice| format!(", slice {slice}")).unwrap_or_default();
    let mut text = format!(
        "service {}, {:.0} % of the requests, {record}{slice}\n",
        service.service,
        service.share * 100.0
    );
    if !service.instances.is_empty() {
        text += &table_text(&instance_table(&service.instances));
    }
    if let Some(refusal) = &service.refusal {
        let _ = writeln!(text, "refused: {}", refusal_text(refusal));
    }
    if let Some(admission) = &service.admission {
        text += &admission_text(admission);
    }
    text
}

fn instance_table(instances: &[ExplainedInstance]) -> Table {
    let columns = [
        "instance",
        "data-centre",
        "address",
        "share",
        "slots",
        "in-flight",
        "mean",
        "failed",
        "report",
        "remark",
    ];
    let optional_ms = |ms: Option<u64>| ms.map_or_else(|| "-".to_owned(), |ms| format!("{ms}ms"));
    let row = |instance: &ExplainedInstance| {
        let load = &instance.load;
        let remarks = [
            instance.own.then_some("own"),
            load.cold.then_some("cold"),
            instance.excluded.as_deref(),
        ];
        vec![
            instance.instance.clone(),
            instance.data_centre.clone(),
            instance.address.clone(),
            format!("{:.0}%", instance.share * 100.0),
            load.slots.to_string(),
            load.in_flight.to_string(),
            optional_ms(load.mean_ms),
            format!("{:.0}%", load.failure_ratio * 100.0),
            optional_ms(load.age_ms),
            remarks.into_iter().flatten().collect::<Vec<_>>().join(", "),
        ]
    };
    Table {
        columns: columns.map(str::to_owned).to_vec(),
        rows: instances.iter().map(row).collect(),
    }
}

fn admission_text(admission: &ExplainedAdmission) -> String {
    let ExplainedAdmission { running, waiting, slots, concurrency, pace, mean_ms, .. } = admission;
    let cold = if admission.cold { "cold" } else { "not cold" };
    let state = format!(
        "upstream: {running} running, {waiting} waiting, {slots} slots, {concurrency} at once, {pace}, {cold}, mean {mean_ms} ms\n"
    );
    let outcome = match (&admission.refusal, &admission.held) {
        (Some(refusal), _) => format!("refused there: {}", refusal_text(refusal)),
        (None, Some(reason)) => format!("held there: {reason}"),
        (None, None) => format!("{} there", admission.outcome),
    };
    state + &outcome + "\n"
}

fn refusal_text(refusal: &ExplainedRefusal) -> String {
    let retry_after = match refusal.retry_after_ms {
        None => String::new(),
        Some((shortest, longest)) if shortest == longest => {
            format!(", Retry-After {shortest} ms")
        }
        Some((shortest, longest)) => format!(", Retry-After {shortest} to {longest} ms"),
    };
    format!("{} {}{retry_after}", refusal.status, refusal.reason)
}
