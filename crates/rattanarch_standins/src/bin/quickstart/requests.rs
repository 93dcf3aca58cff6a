//! Single requests, as the callers of both firms send them.

use std::error::Error;
use std::io::Write;
use std::time::Instant;

use rattanarch_standins::Content;
use rattanarch_standins::Fleet;

/// Length of a downloaded file, in bytes.
const FILE_BYTES: u64 = 2_000_000;

/// Reads a value and prints the response.
pub(crate) fn read(
    output: &mut impl Write,
    fleet: &Fleet,
    label: &str,
    path: &str,
) -> Result<(), Box<dyn Error>> {
    let start = Instant::now();
    let mut response = ureq::get(url(fleet, path)?).header("rattanarch-key", key(path)).call()?;
    let body = response.body_mut().read_to_string()?;
    print(output, label, "GET", path, &body, start)
}

/// Writes a value and prints the response.
pub(crate) fn write(
    output: &mut impl Write,
    fleet: &Fleet,
    label: &str,
    path: &str,
) -> Result<(), Box<dyn Error>> {
    let start = Instant::now();
    let request = ureq::post(url(fleet, path)?).header("rattanarch-key", key(path));
    let mut response =
        request.header("idempotency-key", format!("quickstart {path}")).send_empty()?;
    let body = response.body_mut().read_to_string()?;
    print(output, label, "POST", path, &body, start)
}

/// Downloads a file, checks its content and prints its length.
pub(crate) fn download(
    output: &mut impl Write,
    fleet: &Fleet,
    label: &str,
    path: &str,
) -> Result<(), Box<dyn Error>> {
    let start = Instant::now();
    let full_path = format!("{path}?bytes={FILE_BYTES}");
    let mut response = ureq::get(url(fleet, &full_path)?).call()?;
    let body = response.body_mut().read_to_vec()?;
    if body.len() as u64 != FILE_BYTES || !Content::new(key(path)).matches(0, &body) {
        return Err(format!("the response to {full_path} is wrong").into());
    }
    let text = format!("{FILE_BYTES} bytes, all correct");
    print(output, label, "GET", &full_path, &text, start)
}

fn print(
    output: &mut impl Write,
    label: &str,
    method: &str,
    path: &str,
    body: &str,
    start: Instant,
) -> Result<(), Box<dyn Error>> {
    let elapsed_ms = start.elapsed().as_micros() as f64 / 1_000.0;
    writeln!(output, "  {label}: {method} {path} ({elapsed_ms:.1} ms)")?;
    writeln!(output, "    {}", body.trim_end())?;
    Ok(())
}

/// URL of `path` at the last daemon of the service. This daemon rarely owns the key, so that most
/// requests are forwarded.
fn url(fleet: &Fleet, path: &str) -> Result<String, Box<dyn Error>> {
    let service = path.split('/').nth(1).unwrap_or_default();
    let mut slots = fleet.slots.iter().rev();
    let slot = slots.find(|slot| slot.service() == service);
    let address = slot.ok_or("no daemon of the service")?.caller_address();
    Ok(format!("http://{address}{path}"))
}

fn key(path: &str) -> &str {
    path.rsplit('/').next().unwrap_or_default()
}
