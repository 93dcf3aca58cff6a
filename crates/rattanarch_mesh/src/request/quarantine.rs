//! What the quarantine says about a request.

use rattanarch_process::unix_ms;
use rattanarch_quarantine::Verdict;
use rattanarch_quarantine::trial_instance;
use rattanarch_types::BootId;
use rattanarch_types::Member;
use rattanarch_types::Record;

use crate::process::Shared;
use crate::request::Call;

/// Decides whether `call` may run.
pub(crate) fn check(shared: &Shared, call: &Call) -> Verdict {
    let quarantine = shared.quarantine.borrow();
    if quarantine.is_empty() || !quarantine.has_head(call.fingerprint_head()) {
        return Verdict::Free;
    }
    quarantine.check(shared.now(), &call.fingerprint())
}

/// The member of a service without keys that may run a trial of `call`.
pub(crate) fn trial_member<'a>(
    shared: &Shared,
    record: &'a Record,
    call: &Call,
) -> Option<(BootId, &'a Member)> {
    let knowledge = shared.knowledge.borrow();
    let evacuated = knowledge.evacuated();
    let usable = |(_, member): &(&BootId, &Member)| {
        !member.leaving && !evacuated.contains(&member.data_centre)
    };
    let ids = record.members.iter().filter(usable).map(|(id, _)| *id);
    let id = trial_instance(&call.fingerprint(), unix_ms(), ids)?;
    record.members.get(&id).map(|member| (id, member))
}
