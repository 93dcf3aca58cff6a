//! Datagrams between daemons.

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
/// Messages of one packet; the largest take 28 bytes each, so that a full packet fits a datagram.
const MAX_MESSAGES: usize = 32;

/// A socket that sends and takes authenticated packets.
#[derive(Debug)]
pub(crate) struct PeerSocket {
    socket: UdpSocket,
    codec: Codec,
    window: ReplayWindow,
    sequence: u64,
    buffer: Box<[u8; MAX_DATAGRAM_BYTES + 1]>,
    counters: Arc<Counters>,
}

impl PeerSocket {
    /// Sends and takes packets over `socket`.
    pub(crate) fn new(socket: UdpSocket, codec: Codec, counters: Arc<Counters>) -> Self {
        let buffer = Box::new([0; MAX_DATAGRAM_BYTES + 1]);
        Self { socket, codec, window: ReplayWindow::default(), sequence: 0, buffer, counters }
    }

    /// Sends `messages` of `from` to the member `to` at `address`, in as many packets as they need.
    ///
    /// A packet that the socket does not take is lost like one on the network.
    pub(crate) fn send(
        &mut self,
        from: BootId,
        (to, address): (BootId, SocketAddr),
        knowledge: Knowledge,
        messages: &[Message],
    ) {
        for chunk in messages.chunks(MAX_MESSAGES) {
            let messages = chunk.iter().map(WireMessage::from).collect();
            self.send_packet(from, (to, address), knowledge, messages);
        }
    }

    /// Sends what `from` knows without a message, so that the member `to` asks for what is newer.
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

    /// Waits for the next packet to `me` that is authentic and fresh.
    pub(crate) async fn receive(&mut self, me: BootId) -> (SocketAddr, Packet) {
        loop {
            let Ok((length, source)) = self.socket.recv_from(&mut self.buffer[..]).await else {
                continue;
            };
            Counters::add_many(&self.counters.bytes_received, length as u64 + HEADER_BYTES);
            match self.open(me, length) {
                Ok(packet) => {
                    Counters::add(&self.counters.packets_taken);
                    return (source, packet);
                }
                Err(error) => {
                    Counters::add(&self.counters.frames_refused);
                    log::debug!(source:% = source, reason:% = error; "packet refused");
                }
            }
        }
    }

    /// Forgets senders for which `keep` is false.
    pub(crate) fn retain(&mut self, keep: impl Fn(BootId) -> bool) {
        self.window.retain(keep);
    }

    fn open(&mut self, me: BootId, length: usize) -> Result<Packet, WireError> {
        let packet: Packet =
            self.codec.decode_for(me, &self.buffer[..length], MAX_DATAGRAM_BYTES)?;
        self.window.accept(packet.from, packet.sequence)?;
        Ok(packet)
    }
}

/// Messages of one step, gathered by recipient so that each gets one packet.
#[derive(Debug, Default)]
pub(crate) struct Outbox {
    messages: BTreeMap<BootId, Vec<Message>>,
}

impl Outbox {
    /// Adds a message to a recipient.
    pub(crate) fn add(&mut self, to: BootId, message: Message) {
        self.messages.entry(to).or_default().push(message);
    }

    /// Takes everything gathered.
    pub(crate) fn take(&mut self) -> BTreeMap<BootId, Vec<Message>> {
        std::mem::take(&mut self.messages)
    }
}
