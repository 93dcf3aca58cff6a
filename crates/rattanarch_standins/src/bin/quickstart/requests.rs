//! Single requests, as a caller of either firm sends them.

use std::error::Error;
use std::io::Write;
use std::time::Instant;

use rattanarch_standins::Content;
use rattanarch_standins::Fleet;

/// Length of the files that are asked for, in bytes.
const FILE_BYTES: u64 = 2_000_000;

/// Reads a value and shows the answer.
pub(crate) fn read(
    output: &mut impl Write,
    fleet: &Fleet,
    what: &str,
    path: &str,
) -> Result<(), Box<dyn Error>> {
    let start = Instant::now();
    let mut answer = ureq::get(url(fleet, path)?).header("rattanarch-key", key(path)).call()?;
    let body = answer.body_mut().read_to_string()?;
    show(output, what, "GET", path, &body, start)
}

/// Writes a value once and shows the answer.
pub(crate) fn write(
    output: &mut impl Write,
    fleet: &Fleet,
    what: &str,
    path: &str,
) -> Result<(), Box<dyn Error>> {
    let start = Instant::now();
    let request = ureq::post(url(fleet, path)?).header("rattanarch-key", key(path));
    let mut answer =
        request.header("idempotency-key", format!("quickstart {path}")).send_empty()?;
    let body = answer.body_mut().read_to_string()?;
    show(output, what, "POST", path, &body, start)
}

/// Reads a file, checks each byte and shows its length.
pub(crate) fn download(
    output: &mut impl Write,
    fleet: &Fleet,
    what: &str,
    path: &str,
) -> Result<(), Box<dyn Error>> {
    let start = Instant::now();
    let full_path = format!("{path}?bytes={FILE_BYTES}");
    let mut answer = ureq::get(url(fleet, &full_path)?).call()?;
    let body = answer.body_mut().read_to_vec()?;
    if body.len() as u64 != FILE_BYTES || !Content::new(key(path)).matches(0, &body) {
        return Err(format!("the answer to {full_path} is wrong").into());
    }
    let text = format!("{FILE_BYTES} bytes, each as it should be");
    show(output, what, "GET", &full_path, &text, start)
}

fn show(
    output: &mut impl Write,
    what: &str,
    method: &str,
    path: &str,
    answer: &str,
    start: Instant,
) -> Result<(), Box<dyn Error>> {
    let took = start.elapsed().as_micros() as f64 / 1_000.0;
    writeln!(output, "  {what}: {method} {path} ({took:.1} ms)")?;
    writeln!(output, "    {}", answer.trim_end())?;
    Ok(())
}

/// Any daemon of the service will do; takes the last, which rarely owns the key.
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
