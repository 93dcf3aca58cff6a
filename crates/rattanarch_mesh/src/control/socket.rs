//! Datagrams between daemons.

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
use rattanarch_wire::WireMessage;
use tokio::net::UdpSocket;

use crate::control::gossip;
use crate::control::step;
use crate::process::Shared;

/// The platform gives the daemons no common secret: the tag only keeps frames apart that are
/// damaged, or meant for another life or another system.
const SECRET: &[u8] = b"rattanarch datagrams";

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
        Ok(Self { socket, codec: Codec::new(SECRET), sequence: Cell::new(0) })
    }

    /// Sends protocol messages, one datagram for each member.
    pub(crate) fn send(&self, shared: &Shared, messages: &[(BootId, Message)]) {
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
                self.post(&frame, member.peer);
            }
        }
    }

    /// Tells `to` which versions this daemon knows.
    pub(crate) fn tell(&self, digest: &Digest, to: SocketAddr) {
        if let Ok(frame) = self.codec.encode(digest) {
            self.post(&frame, to);
        }
    }

    /// Sends a frame, or loses it: the protocol bears lost datagrams.
    fn post(&self, frame: &[u8], to: SocketAddr) {
        let _ = self.socket.try_send_to(frame, to);
    }
}

/// Takes datagrams as long as the process lives.
pub(crate) async fn receive(shared: Rc<Shared>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        match shared.socket.socket.recv_from(&mut buffer).await {
            Ok((length, from)) => take(&shared, &buffer[..length], from),
            Err(error) => log::warn!(reason:% = error; "datagram not received"),
        }
    }
}

fn take(shared: &Rc<Shared>, frame: &[u8], from: SocketAddr) {
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
    if let Ok(digest) = codec.decode::<Digest>(frame, MAX_DATAGRAM_BYTES) {
        gossip::hear(shared, &digest, from);
    }
    // Anything else is meant for an earlier life of this process.
}
