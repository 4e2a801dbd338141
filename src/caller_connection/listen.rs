//! Listening for callers.

use std::io;
use std::net::SocketAddr;

use socket2::SockRef;
use tokio::net::{TcpListener, TcpSocket};

/// Bytes that a connection receives at most before they are read. Without a limit the kernel lets
/// them grow to megabytes on a connection that was read fast before.
const RECEIVE_BUFFER_BYTES: usize = 64 << 10;
/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Listens for callers, whose connections receive little before it is read.
pub(crate) fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    // Accepted connections inherit it.
    limit_receive_buffer(SockRef::from(&socket));
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Limits what a connection receives before it is read.
pub(crate) fn limit_receive_buffer(socket: SockRef<'_>) {
    if let Err(error) = socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES) {
        log::warn!("caller: cannot limit what a connection receives: {error}");
    }
}
