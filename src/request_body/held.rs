//! A body that was read.

use std::ops::Deref;
use std::sync::Arc;

use bytes::Bytes;

use super::memory::HeldRequest;

/// A whole body. Its request counts as held until the last clone is dropped.
#[derive(Clone, Debug)]
pub struct HeldBody {
    bytes: Bytes,
    _held: Arc<HeldRequest>,
}

impl HeldBody {
    pub(crate) fn new(bytes: Bytes, held: HeldRequest) -> HeldBody {
        HeldBody { bytes, _held: Arc::new(held) }
    }

    /// The bytes, to be sent on.
    pub fn to_bytes(&self) -> Bytes {
        self.bytes.clone()
    }
}

impl Deref for HeldBody {
    type Target = [u8];

    fn deref(&self) -> &[u8] {
        &self.bytes
    }
}
