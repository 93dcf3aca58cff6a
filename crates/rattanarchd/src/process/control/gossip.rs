//! Gossip: packets that carry the versions that members have, and pulls of newer state from peers.

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

/// Age of the shared state above which a member watches the platform itself; more than a watch of 5 s and three
/// hops of gossip can add up to.
const STALE_AGE: Duration = Duration::from_secs(7);
/// Maximum number of stored addresses of senders that the record does not contain.
const MAX_SENDERS: usize = 256;

impl Control {
    pub(super) fn handle_packet(&mut self, source: SocketAddr, packet: Packet) {
        let from = packet.from;
        if !self.node.serving().record.members.contains_key(&from)
            && self.sender_addresses.len() < MAX_SENDERS
        {
            self.sender_addresses.insert(from, source);
        }
        self.handle_knowledge(from, packet.knowledge);
        for message in packet.messages {
            match Message::try_from(message) {
                Ok(message) => self.step(Event::Message { from, message }),
                Err(error) => log::debug!(reason:% = error; "message refused"),
            }
        }
    }

    /// Sends the queued messages to the members whose address is known.
    pub(super) fn send_outbox(&mut self, now: Moment) {
        let knowledge = self.knowledge(now);
        let from = self.node.me();
        for (to, messages) in self.outbox.take() {
            let members = &self.node.serving().record.members;
            let address = members.get(&to).map(|member| member.peer);
            let Some(address) = address.or_else(|| self.sender_addresses.get(&to).copied()) else {
                continue;
            };
            self.parts.socket.send(from, (to, address), knowledge, &messages);
        }
    }

    /// Versions and age of this daemon's state, as sent to peers.
    pub(super) fn knowledge(&self, now: Moment) -> Knowledge {
        Knowledge {
            record: self.node.serving().record.version,
            configuration: self.configuration.version(),
            digest: self.configuration.digest(),
            age_ms: self.freshness.age_ms(now),
        }
    }

    /// Handles the versions that a peer reports, and pulls newer state from it.
    pub(super) fn handle_knowledge(&mut self, from: BootId, theirs: Knowledge) {
        let now = self.clock.now();
        self.parts.reported_versions.insert(from, theirs.configuration);
        let mine = self.knowledge(now);
        let comparison = self.configuration.observe_peer(theirs.configuration, theirs.digest);
        if comparison == PeerVersion::Adopted {
            log::info!(version = theirs.configuration; "configuration in force here");
        }
        self.freshness.observe_peer(now, (mine.record, self.configuration.version()), theirs);
        let newer = theirs.record > mine.record || comparison == PeerVersion::Newer;
        if newer && !self.pulling {
            self.start_pull(from, mine);
        }
    }

    /// Starts to pull state newer than `mine` from the member `to`.
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
                Ok(reply) => Input::Pulled {
                    record: reply.record.and_then(|record| record.try_into().ok()),
                    configuration: reply.configuration,
                },
                Err(error) => {
                    log::debug!(reason:% = error; "pull failed");
                    Input::PullFailed(to)
                }
            };
            let _ = sender.send(input);
        });
    }

    pub(super) fn handle_pulled(
        &mut self,
        record: Option<Record>,
        configuration: Option<Configuration>,
    ) {
        self.pulling = false;
        if let Some(configuration) = configuration {
            self.handle_configuration(&configuration);
        }
        if let Some(record) = record {
            self.apply(record, None);
        }
    }

    /// Starts or pauses the watches of the platform, according to whether this member is to watch.
    pub(super) fn update_watches(&self) {
        let record = &self.node.serving().record;
        let now = self.clock.now();
        let stale = u128::from(self.freshness.age_ms(now)) > STALE_AGE.as_millis();
        let watching = stale || is_watcher(record, self.node.me());
        self.parts.worker.set_watching(watching, record.version, self.configuration.version());
    }

    /// Forgets the addresses of senders that are in the record now, and the state of former members.
    pub(super) fn prune_senders(&mut self) {
        let record = Arc::clone(&self.node.serving().record);
        self.sender_addresses.retain(|boot, _| !record.members.contains_key(boot));
        let sender_addresses = &self.sender_addresses;
        let known =
            |boot| record.members.contains_key(&boot) || sender_addresses.contains_key(&boot);
        self.parts.socket.retain(known);
        self.parts.reported_versions.retain(known);
    }
}
