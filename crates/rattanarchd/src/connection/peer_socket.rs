//! UDP socket for packets between daemons.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use rattanarch_ownership::Message;
use rattanarch_types::BootId;
use rattanarch_wire::Codec;
use rattanarch_wire::Knowledge;
use rattanarch_wire::MAX_DATAGRAM_BYTES;
use rattanarch_wire::Packet;
use rattanarch_wire::ReplayWindow;
use rattanarch_wire::WireError;
use rattanarch_wire::WireMessage;
use tokio::net::UdpSocket;

use crate::process::Counters;

/// Bytes of the IPv4 and UDP headers of a datagram.
const HEADER_BYTES: u64 = 28;
/// Most messages in one packet; the largest message takes 28 bytes, so a full packet fits a datagram.
const MAX_PACKET_MESSAGES: usize = 32;

/// Socket that sends and receives authenticated packets.
#[derive(Debug)]
pub(crate) struct PeerSocket {
    socket: UdpSocket,
    codec: Codec,
    replay_window: ReplayWindow,
    sequence: u64,
    buffer: Box<[u8; MAX_DATAGRAM_BYTES + 1]>,
    counters: Arc<Counters>,
}

impl PeerSocket {
    /// Creates a socket that sends and receives packets over `socket`.
    pub(crate) fn new(socket: UdpSocket, codec: Codec, counters: Arc<Counters>) -> Self {
        let buffer = Box::new([0; MAX_DATAGRAM_BYTES + 1]);
        Self {
            socket,
            codec,
            replay_window: ReplayWindow::default(),
            sequence: 0,
            buffer,
            counters,
        }
    }

    /// Sends `messages` of `from` to the member `to` at `address`, in as many packets as needed.
    ///
    /// A packet that cannot be sent at once is dropped, like one that is lost on the network.
    pub(crate) fn send(
        &mut self,
        from: BootId,
        (to, address): (BootId, SocketAddr),
        knowledge: Knowledge,
        messages: &[Message],
    ) {
        for chunk in messages.chunks(MAX_PACKET_MESSAGES) {
            let messages = chunk.iter().map(WireMessage::from).collect();
            self.send_packet(from, (to, address), knowledge, messages);
        }
    }

    /// Sends the versions that `from` has, without a message, so that the member `to` pulls those that are newer.
    pub(crate) fn send_knowledge(
        &mut self,
        from: BootId,
        to: (BootId, SocketAddr),
        knowledge: Knowledge,
    ) {
        self.send_packet(from, to, knowledge, Vec::new());
    }

    fn send_packet(
        &mut self,
        from: BootId,
        (to, address): (BootId, SocketAddr),
        knowledge: Knowledge,
        messages: Vec<WireMessage>,
    ) {
        self.sequence += 1;
        let packet = Packet { from, sequence: self.sequence, knowledge, messages };
        let Ok(frame) = self.codec.encode_for(to, &packet) else { return };
        if self.socket.try_send_to(&frame, address).is_ok() {
            Counters::add(&self.counters.packets_sent);
            Counters::add_many(&self.counters.bytes_sent, frame.len() as u64 + HEADER_BYTES);
        }
    }

    /// Waits for the next packet to `me` that is authentic and not a replay. Others are counted and dropped.
    pub(crate) async fn receive(&mut self, me: BootId) -> (SocketAddr, Packet) {
        loop {
            let Ok((length, source)) = self.socket.recv_from(&mut self.buffer[..]).await else {
                continue;
            };
            Counters::add_many(&self.counters.bytes_received, length as u64 + HEADER_BYTES);
            match self.decode(me, length) {
                Ok(packet) => {
                    Counters::add(&self.counters.packets_received);
                    return (source, packet);
                }
                Err(error) => {
                    Counters::add(&self.counters.frames_refused);
                    log::debug!(source:% = source, reason:% = error; "packet rejected");
                }
            }
        }
    }

    /// Removes the replay state of senders for which `keep` is false.
    pub(crate) fn retain(&mut self, keep: impl Fn(BootId) -> bool) {
        self.replay_window.retain(keep);
    }

    /// Decodes the packet in the buffer and checks that it is not a replay.
    fn decode(&mut self, me: BootId, length: usize) -> Result<Packet, WireError> {
        let packet: Packet =
            self.codec.decode_for(me, &self.buffer[..length], MAX_DATAGRAM_BYTES)?;
        self.replay_window.accept(packet.from, packet.sequence)?;
        Ok(packet)
    }
}

/// Outgoing messages of one step, grouped by recipient so that each gets as few packets as possible.
#[derive(Debug, Default)]
pub(crate) struct Outbox {
    messages: BTreeMap<BootId, Vec<Message>>,
}

impl Outbox {
    /// Adds a message for a recipient.
    pub(crate) fn add(&mut self, to: BootId, message: Message) {
        self.messages.entry(to).or_default().push(message);
    }

    /// Takes all messages and leaves the outbox empty.
    pub(crate) fn take(&mut self) -> BTreeMap<BootId, Vec<Message>> {
        std::mem::take(&mut self.messages)
    }
}
