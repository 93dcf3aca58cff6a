//! Handling of records from the platform and from peers, and of the outcomes of this daemon's writes.

use std::sync::Arc;

use rattanarch_ownership::Event;
use rattanarch_ownership::WriteOutcome;
use rattanarch_types::Moment;
use rattanarch_types::Record;
use rattanarch_types::Sharing;
use rattanarch_types::WriteId;

use crate::version::gaining_members;

use super::Control;

impl Control {
    /// Checks a record that was read from the platform, and applies it.
    pub(super) fn handle_record(&mut self, record: Record, sent: Option<Moment>) {
        let record = if record.version == 0 { self.first_record() } else { Some(record) };
        let Some(record) = record else { return };
        if let Err(error) = record.check() {
            log::error!(reason:% = error; "record refused");
            return;
        }
        if let Some(at) = sent
            && record.version >= self.node.serving().record.version
        {
            self.freshness.confirm_record(at);
        }
        self.apply(record, sent);
    }

    /// Passes a record to the node; `read_sent` is when the read was sent, if the platform answered it directly.
    pub(super) fn apply(&mut self, record: Record, read_sent: Option<Moment>) {
        let before = self.node.serving().record.version;
        self.step(Event::Record { record, read_sent });
        if self.node.serving().record.version != before {
            self.prune_senders();
            self.update_standing();
        }
    }

    /// Initial record of a service that has none yet; `None` while the configuration does not contain the service.
    pub(super) fn first_record(&self) -> Option<Record> {
        let service = self.configuration.content().services.get(&self.parts.service)?;
        let slices = match service.sharing {
            Sharing::Keyed(slices) => slices,
            Sharing::Unkeyed => 0,
        };
        Some(Record::new(self.parts.service.clone(), slices))
    }

    /// Handles the outcome of a write of this daemon. Notifies the members that gained slices or keys by it at once,
    /// since they serve as soon as they have the record; gossip with the heartbeats would take three heartbeats.
    pub(super) fn handle_written(&mut self, write_id: WriteId, outcome: WriteOutcome) {
        let before = Arc::clone(&self.node.serving().record);
        self.step(Event::Written { write_id, outcome });
        let after = Arc::clone(&self.node.serving().record);
        if after.write_id != write_id || after.version <= before.version {
            return;
        }
        let knowledge = self.knowledge(self.clock.now());
        let from = self.node.me();
        for to in gaining_members(&before, &after) {
            let Some(member) = after.members.get(&to).filter(|_| to != from) else { continue };
            self.parts.socket.send_knowledge(from, (to, member.peer), knowledge);
        }
    }

    /// Logs the record that this member has just applied.
    pub(super) fn log_record(&self) {
        let serving = self.node.serving();
        log::info!(
            version = serving.record.version,
            members = serving.record.members.len(),
            slices = serving.record.slices_of(serving.me).count(),
            boot = serving.me;
            "record in force here"
        );
    }
}
