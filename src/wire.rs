//! What processes of the fleet say to each other, and how it is framed.
//!
//! Heartbeats travel as single UDP datagrams. Everything else travels over TCP
//! as frames: a four-byte big-endian length, then one postcard value. A frame
//! holds a batch of messages, so that many small ones share its header. Datagrams and the
//! first frame of a connection name the version of the protocol ([`PROTOCOL`]).

mod frame;
mod message;
mod protocol;
#[cfg(test)]
mod tests;

pub use frame::{
    BatchSender, BatchWriter, FrameReader, KEEP_ALIVE_INTERVAL, MAX_FRAME, QueuedMessage,
    SILENCE_TIMEOUT, SentBytes, TCP_HEADER, Traffic, UDP_HEADER, keep_alive, write_frame,
    write_keep_alive, write_payload,
};
pub use message::*;
pub use protocol::{PROTOCOL, decode_versioned, encode_versioned};
