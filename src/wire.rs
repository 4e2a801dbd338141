//! What processes of the fleet say to each other, and how it is framed.
//!
//! Heartbeats travel as single UDP datagrams. Everything else travels over TCP
//! as frames: a four-byte big-endian length, then one postcard value. A frame
//! holds a batch of messages, so that many small ones share its header.

mod frame;
mod message;
#[cfg(test)]
mod tests;

pub use frame::{
    BatchSender, BatchWriter, FrameReader, MAX_FRAME, Patient, SentBytes, TCP_HEADER, Traffic,
    UDP_HEADER, write_frame,
};
pub use message::*;
