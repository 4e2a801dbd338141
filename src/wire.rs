//! Messages between processes of the fleet, and their framing.
//!
//! Heartbeats are sent as single UDP datagrams. Everything else is sent over TCP as
//! frames: a four-byte big-endian length, then one postcard value. A frame holds a batch of
//! messages, so that many small ones share its header. Datagrams and the first frame of a
//! connection start with the protocol version ([`PROTOCOL`]).

mod frame;
mod message;
mod protocol;
#[cfg(test)]
mod tests;

pub use frame::{
    BatchSender, BatchWriter, FrameReader, KEEP_ALIVE_INTERVAL, MAX_FRAME_BYTES, QueuedMessage,
    SILENCE_TIMEOUT, SentBytes, TCP_HEADER_BYTES, Traffic, UDP_HEADER_BYTES, keep_alive,
    write_frame, write_keep_alive, write_payload,
};
pub use message::*;
pub use protocol::{
    PROTOCOL, decode_versioned, encode_stream_datagram, encode_versioned, stream_datagram,
};
