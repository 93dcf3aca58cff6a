//! Audit entries: one for each change, moved into pages without loss.

use quickcheck::Gen;
use quickcheck::QuickCheck;
use rattanarch_config::Applied;
use rattanarch_config::AuditPage;
use rattanarch_config::Command;
use rattanarch_config::CommandError;
use rattanarch_config::CommandRequest;
use rattanarch_config::MAX_PAGES;
use rattanarch_config::MAX_TRAIL_ENTRIES;
use rattanarch_config::Operator;
use rattanarch_config::apply;
use rattanarch_config::page_number;
use rattanarch_config::page_path;
use rattanarch_types::AuditEntry;
use rattanarch_types::ConfigObject;
use rattanarch_types::Configuration;
use rattanarch_types::Standing;

const SEED: u64 = 6;

fn entry(serial: u64) -> AuditEntry {
    AuditEntry {
        serial,
        time_ms: 0,
        operator: "anna".into(),
        firm: None,
        command: String::new(),
        object: ConfigObject::DataCentre("nordkuehl".into()),
        before: serial,
        after: serial + 1,
        write_id: serial + 1,
    }
}

fn entries(serials: std::ops::Range<u64>) -> Vec<AuditEntry> {
    serials.map(entry).collect()
}

/// Writers move overlapping ranges of entries in any order: the page has each entry once, by ascending serial.
#[test]
fn overlapping_moves() {
    fn property(ranges: Vec<(u8, u8)>) -> bool {
        let mut page = AuditPage::default();
        let mut expected = std::collections::BTreeSet::new();
        for (start, length) in ranges {
            let range = u64::from(start % 100)..u64::from(start % 100) + u64::from(length % 20);
            expected.extend(range.clone());
            page = page.with_entries(0, &entries(range)).unwrap_or(page);
        }
        page.entries.iter().map(|entry| entry.serial).eq(expected)
    }
    let mut check = QuickCheck::new().rng(Gen::from_size_and_seed(30, SEED));
    check.quickcheck(property as fn(Vec<(u8, u8)>) -> bool);
}

/// A page replaces the one that the same position of the ring had before, and refuses entries of the replaced page.
#[test]
fn ring_wraps() {
    let first = AuditPage::default().with_entries(0, &entries(0..3)).unwrap();
    let serial = MAX_PAGES * 128;
    assert_eq!(page_number(serial), MAX_PAGES);
    assert_eq!(page_path("coop", page_number(serial)), page_path("coop", 0));
    let wrapped = first.with_entries(MAX_PAGES, &entries(serial..serial + 1)).unwrap();
    assert_eq!(wrapped.entries, entries(serial..serial + 1));
    assert_eq!(wrapped.with_entries(0, &entries(0..3)), None);
}

#[test]
fn trail_limit() {
    let mut full = Configuration { firm: "coop".into(), ..Configuration::default() };
    full.trail.entries = entries(0..MAX_TRAIL_ENTRIES as u64);
    let command = Command::CreateDataCentre { name: "welsdepot".into(), region: "at".into() };
    let request = CommandRequest::new(Operator::of_rota("rita"), command);
    assert_eq!(apply(&full, &request), Err(CommandError::TrailFull("coop".into())));
}

/// Any sequence of commands leaves exactly one entry per version, without gaps.
#[test]
fn one_entry_per_version() {
    fn property(steps: Vec<(bool, u8)>) -> bool {
        let mut current = Configuration { firm: "coop".into(), ..Configuration::default() };
        for (is_in, name) in steps.into_iter().take(MAX_TRAIL_ENTRIES) {
            let name = format!("dc-{}", name % 4);
            let standing = if is_in { Standing::In } else { Standing::Out };
            let command = match current.data_centres.contains_key(&name) {
                true => Command::SetDataCentre { name, standing },
                false => Command::CreateDataCentre { name, region: "at".into() },
            };
            let request =
                CommandRequest::new(Operator::of_rota("rita"), command).with_confirmed(true);
            if let Ok(Applied::Changed(next)) = apply(&current, &request) {
                current = next;
            }
        }
        let serials = current.trail.entries.iter().map(|entry| (entry.serial, entry.after));
        current.trail.entries.len() as u64 == current.version
            && serials.eq((0..current.version).map(|serial| (serial, serial + 1)))
    }
    let mut check = QuickCheck::new().rng(Gen::from_size_and_seed(60, SEED));
    check.quickcheck(property as fn(Vec<(bool, u8)>) -> bool);
}
