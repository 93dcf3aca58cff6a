//! Socket for datagrams between daemons: protocol messages and digests.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use rattanarch_ownership::Event;
use rattanarch_ownership::Message;
use rattanarch_types::BootId;
use rattanarch_wire::Codec;
use rattanarch_wire::Digest;
use rattanarch_wire::Knowledge;
use rattanarch_wire::MAX_DATAGRAM_BYTES;
use rattanarch_wire::Packet;
use rattanarch_wire::QuotaMessage;
use rattanarch_wire::SuspectsMessage;
use rattanarch_wire::WireMessage;
use rattanarch_wire::WireQuota;
use rattanarch_wire::WireSuspects;
use tokio::net::UdpSocket;

use crate::control::gossip;
use crate::control::quotas::handle_quota_message;
use crate::control::step;
use crate::control::suspects::handle_suspects;
use crate::process::Shared;

/// Key of the datagrams' tag. It is no secret, since the platform gives the daemons none in common: the tag only
/// detects datagrams that are damaged, or meant for an earlier process or another system.
const TAG_KEY: &[u8] = b"rattanarch datagrams";

/// Socket for datagrams between daemons.
pub(crate) struct PeerSocket {
    socket: UdpSocket,
    codec: Codec,
    sequence: Cell<u64>,
}

impl PeerSocket {
    /// Binds to `address`.
    pub(crate) async fn bind(address: SocketAddr) -> std::io::Result<Self> {
        let socket = UdpSocket::bind(address).await?;
        Ok(Self { socket, codec: Codec::new(TAG_KEY), sequence: Cell::new(0) })
    }

    /// Sends protocol messages, one datagram for each member.
    pub(crate) fn send_messages(&self, shared: &Shared, messages: &[(BootId, Message)]) {
        if messages.is_empty() {
            return;
        }
        let Some(from) = shared.control.borrow().node.as_ref().map(|node| node.me()) else {
            return;
        };
        let mut by_member: BTreeMap<BootId, Vec<WireMessage>> = BTreeMap::new();
        for (to, message) in messages {
            by_member.entry(*to).or_default().push(WireMessage::from(message));
        }
        let knowledge = shared.knowledge.borrow();
        let Some(record) = knowledge.record(&shared.settings.service) else { return };
        for (to, messages) in by_member {
            let Some(member) = record.members.get(&to) else { continue };
            self.sequence.set(self.sequence.get() + 1);
            let sequence = self.sequence.get();
            let packet = Packet { from, sequence, knowledge: Knowledge::default(), messages };
            if let Ok(frame) = self.codec.encode_for(to, &packet) {
                self.try_send(&frame, member.peer);
            }
        }
    }

    /// Sends `digest` to the daemon at `to`.
    pub(crate) fn send_digest(&self, digest: &Digest, to: SocketAddr) {
        if let Ok(frame) = self.codec.encode(digest) {
            self.try_send(&frame, to);
        }
    }

    /// Sends a quota message to the daemon at `to`.
    pub(crate) fn send_quota(&self, message: &WireQuota, to: SocketAddr) {
        if let Ok(frame) = self.codec.encode(message) {
            self.try_send(&frame, to);
        }
    }

    /// Sends a message about suspects to the daemon at `to`.
    pub(crate) fn send_suspects(&self, message: &WireSuspects, to: SocketAddr) {
        if let Ok(frame) = self.codec.encode(message) {
            self.try_send(&frame, to);
        }
    }

    /// Sends a frame, and drops it on an error: the protocol tolerates lost datagrams.
    fn try_send(&self, frame: &[u8], to: SocketAddr) {
        let _ = self.socket.try_send_to(frame, to);
    }
}

/// Receives datagrams until the process ends.
pub(crate) async fn receive(shared: Rc<Shared>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        match shared.socket.socket.recv_from(&mut buffer).await {
            Ok((length, from)) => handle_datagram(&shared, &buffer[..length], from),
            Err(error) => log::warn!(reason:% = error; "datagram not received"),
        }
    }
}

fn handle_datagram(shared: &Rc<Shared>, frame: &[u8], from: SocketAddr) {
    let codec = &shared.socket.codec;
    let me = shared.control.borrow().node.as_ref().map(|node| node.me());
    if let Some(me) = me
        && let Ok(packet) = codec.decode_for::<Packet>(me, frame, MAX_DATAGRAM_BYTES)
    {
        for message in packet.messages {
            match Message::try_from(message) {
                Ok(message) => step(shared, Event::Message { from: packet.from, message }),
                Err(error) => log::warn!(from:% = from, reason:% = error; "datagram malformed"),
            }
        }
        return;
    }
    if let Ok(message) = codec.decode::<WireQuota>(frame, MAX_DATAGRAM_BYTES) {
        match QuotaMessage::try_from(message) {
            Ok(message) => handle_quota_message(shared, from, &message),
            Err(error) => log::warn!(from:% = from, reason:% = error; "datagram malformed"),
        }
        return;
    }
    if let Ok(message) = codec.decode::<WireSuspects>(frame, MAX_DATAGRAM_BYTES) {
        match SuspectsMessage::try_from(message) {
            Ok(message) => handle_suspects(shared, &message, from),
            Err(error) => log::warn!(from:% = from, reason:% = error; "datagram malformed"),
        }
        return;
    }
    if let Ok(digest) = codec.decode::<Digest>(frame, MAX_DATAGRAM_BYTES) {
        gossip::handle_digest(shared, &digest, from);
    }
    // Other datagrams are damaged, or meant for an earlier process at this address.
}
