//! Audit entries: one a change, moved into pages without loss.

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

/// Writers move overlapping runs of entries in any order: a page has each once, in order.
#[test]
fn overlapping_moves() {
    fn property(runs: Vec<(u8, u8)>) -> bool {
        let mut page = AuditPage::default();
        let mut wanted = std::collections::BTreeSet::new();
        for (start, length) in runs {
            let run = u64::from(start % 100)..u64::from(start % 100) + u64::from(length % 20);
            wanted.extend(run.clone());
            page = page.with_entries(0, &entries(run)).unwrap_or(page);
        }
        page.entries.iter().map(|entry| entry.serial).eq(wanted)
    }
    let mut check = QuickCheck::new().rng(Gen::from_size_and_seed(30, SEED));
    check.quickcheck(property as fn(Vec<(u8, u8)>) -> bool);
}

#[test]
fn ring_turns() {
    let first = AuditPage::default().with_entries(0, &entries(0..3)).unwrap();
    let serial = MAX_PAGES * 128;
    assert_eq!(page_number(serial), MAX_PAGES);
    assert_eq!(page_path("coop", page_number(serial)), page_path("coop", 0));
    let turned = first.with_entries(MAX_PAGES, &entries(serial..serial + 1)).unwrap();
    assert_eq!(turned.entries, entries(serial..serial + 1));
    assert_eq!(turned.with_entries(0, &entries(0..3)), None);
}

#[test]
fn trail_limit() {
    let mut full = Configuration { firm: "coop".into(), ..Configuration::default() };
    full.trail.entries = entries(0..MAX_TRAIL_ENTRIES as u64);
    let command = Command::CreateDataCentre { name: "welsdepot".into(), region: "at".into() };
    let order = CommandRequest::new(Operator::of_rota("rita"), command);
    assert_eq!(apply(&full, &order), Err(CommandError::TrailFull("coop".into())));
}

/// Any sequence of commands leaves one entry a version, without gaps.
#[test]
fn one_entry_each() {
    fn property(steps: Vec<(bool, u8)>) -> bool {
        let mut now = Configuration { firm: "coop".into(), ..Configuration::default() };
        for (is_in, name) in steps.into_iter().take(MAX_TRAIL_ENTRIES) {
            let name = format!("dc-{}", name % 4);
            let standing = if is_in { Standing::In } else { Standing::Out };
            let command = match now.data_centres.contains_key(&name) {
                true => Command::SetDataCentre { name, standing },
                false => Command::CreateDataCentre { name, region: "at".into() },
            };
            let order =
                CommandRequest::new(Operator::of_rota("rita"), command).with_confirmed(true);
            if let Ok(Applied::Changed(next)) = apply(&now, &order) {
                now = next;
            }
        }
        let serials = now.trail.entries.iter().map(|entry| (entry.serial, entry.after));
        now.trail.entries.len() as u64 == now.version
            && serials.eq((0..now.version).map(|serial| (serial, serial + 1)))
    }
    let mut check = QuickCheck::new().rng(Gen::from_size_and_seed(60, SEED));
    check.quickcheck(property as fn(Vec<(bool, u8)>) -> bool);
}
