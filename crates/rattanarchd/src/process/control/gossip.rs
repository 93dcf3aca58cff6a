//! What members tell each other beside leases: versions, ages, and who asks whom for what is newer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rattanarch_config::PeerVersion;
use rattanarch_ownership::Event;
use rattanarch_ownership::Message;
use rattanarch_types::BootId;
use rattanarch_types::Configuration;
use rattanarch_types::Moment;
use rattanarch_types::Record;
use rattanarch_wire::Knowledge;
use rattanarch_wire::Packet;
use rattanarch_wire::Pull;

use crate::connection::pull;
use crate::process::Input;
use crate::process::random;
use crate::version::is_watcher;

use super::Control;

/// Age of the knowledge at which a member watches the platform itself: above what a watcher's wait
/// of 5 s and three hops of gossip explain.
const STALE: Duration = Duration::from_secs(7);
/// Addresses remembered of senders that the record does not name.
const MAX_SOURCES: usize = 256;

impl Control {
    pub(super) fn take_packet(&mut self, source: SocketAddr, packet: Packet) {
        let from = packet.from;
        if !self.node.serving().record.members.contains_key(&from)
            && self.sources.len() < MAX_SOURCES
        {
            self.sources.insert(from, source);
        }
        self.hear(from, packet.knowledge);
        for message in packet.messages {
            match Message::try_from(message) {
                Ok(message) => self.step(Event::Message { from, message }),
                Err(error) => log::debug!(reason:% = error; "message refused"),
            }
        }
    }

    pub(super) fn send_outbox(&mut self, now: Moment) {
        let knowledge = self.knowledge(now);
        let from = self.node.me();
        for (to, messages) in self.outbox.take() {
            let members = &self.node.serving().record.members;
            let address = members.get(&to).map(|member| member.peer);
            let Some(address) = address.or_else(|| self.sources.get(&to).copied()) else {
                continue;
            };
            self.parts.socket.send(from, (to, address), knowledge, &messages);
        }
    }

    pub(super) fn knowledge(&self, now: Moment) -> Knowledge {
        Knowledge {
            record: self.node.serving().record.version,
            configuration: self.guidance.version(),
            digest: self.guidance.digest(),
            age_ms: self.freshness.age_ms(now),
        }
    }

    /// Takes what a peer says it knows, and asks it for what is newer.
    pub(super) fn hear(&mut self, from: BootId, theirs: Knowledge) {
        let now = self.clock.now();
        self.parts.reports.hear(from, theirs.configuration);
        let mine = self.knowledge(now);
        let heard = self.guidance.observe_peer(theirs.configuration, theirs.digest);
        if heard == PeerVersion::Adopted {
            log::info!(version = theirs.configuration; "configuration in force here");
        }
        self.freshness.hear(now, (mine.record, self.guidance.version()), theirs);
        let newer = theirs.record > mine.record || heard == PeerVersion::Newer;
        if newer && !self.pulling {
            self.start_pull(from, mine);
        }
    }

    pub(super) fn start_pull(&mut self, to: BootId, mine: Knowledge) {
        let members = &self.node.serving().record.members;
        let Some(address) = members.get(&to).map(|member| member.peer) else { return };
        self.pulling = true;
        let request = Pull {
            from: self.node.me(),
            to,
            nonce: random(),
            record: mine.record,
            configuration: mine.configuration,
        };
        let (codec, sender) = (self.parts.codec.clone(), self.parts.sender.clone());
        let counters = Arc::clone(&self.parts.counters);
        tokio::spawn(async move {
            let input = match pull(&codec, &counters, address, &request).await {
                Ok(pushed) => Input::Pulled {
                    record: pushed.record.and_then(|record| record.try_into().ok()),
                    configuration: pushed.configuration,
                },
                Err(error) => {
                    log::debug!(reason:% = error; "pull failed");
                    Input::PullFailed(to)
                }
            };
            let _ = sender.send(input);
        });
    }

    pub(super) fn take_pulled(
        &mut self,
        record: Option<Record>,
        configuration: Option<Configuration>,
    ) {
        self.pulling = false;
        if let Some(configuration) = configuration {
            self.take_configuration(&configuration);
        }
        if let Some(record) = record {
            self.apply(record, None);
        }
    }

    /// Keeps the watches in step with who should watch.
    pub(super) fn follow(&self) {
        let record = &self.node.serving().record;
        let now = self.clock.now();
        let stale = u128::from(self.freshness.age_ms(now)) > STALE.as_millis();
        let watching = stale || is_watcher(record, self.node.me());
        self.parts.worker.follow(watching, record.version, self.guidance.version());
    }

    pub(super) fn forget_sources(&mut self) {
        let record = Arc::clone(&self.node.serving().record);
        self.sources.retain(|boot, _| !record.members.contains_key(boot));
        let sources = &self.sources;
        let known = |boot| record.members.contains_key(&boot) || sources.contains_key(&boot);
        self.parts.socket.retain(known);
        self.parts.reports.retain(known);
    }
}
