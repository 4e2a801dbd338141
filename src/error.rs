//! The error type of the library's I/O code, and its `Result` alias.
//!
//! Decision code does not use them: its outcomes are ordinary values.

use std::path::PathBuf;

use snafu::Snafu;

/// Failures of a process's input and output.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// A file could not be read or written.
    #[snafu(display("{}: {source}", path.display()))]
    File {
        /// The file.
        path: PathBuf,
        /// The operating system's error.
        source: std::io::Error,
    },
    /// A settings or configuration file does not parse.
    #[snafu(display("{}: {message}", path.display()))]
    Parse {
        /// The file.
        path: PathBuf,
        /// Line, column, field and remedy.
        message: String,
    },
    /// A value parses but cannot be used.
    #[snafu(display("{field}: {problem}; {remedy}"))]
    Invalid {
        /// The field, as a path in the file.
        field: String,
        /// What is wrong with it.
        problem: String,
        /// How to correct it.
        remedy: String,
    },
    /// A socket could not be opened, read or written.
    #[snafu(display("{what}: {source}"))]
    Net {
        /// What was attempted.
        what: String,
        /// The operating system's error.
        source: std::io::Error,
    },
    /// Nothing arrives on a connection between hosts any more: it may be dead.
    #[snafu(display("the connection fell silent"))]
    SilenceTimeout,
    /// A frame between processes could not be encoded or decoded.
    #[snafu(display("frame: {source}"))]
    Frame {
        /// The codec's error.
        source: postcard::Error,
    },
    /// A peer uses another version of the protocol between hosts.
    #[snafu(display("it speaks protocol {theirs}, this host {ours}"))]
    ProtocolMismatch {
        /// The peer's version, or the first byte of a message from before versions.
        theirs: u8,
        /// This host's.
        ours: u8,
    },
    /// A frame is longer than a peer may send.
    #[snafu(display("frame of {size} bytes exceeds the limit of {limit} bytes"))]
    FrameTooLarge {
        /// Its announced size in bytes.
        size: usize,
        /// The limit in bytes.
        limit: usize,
    },
    /// The durable log is damaged before its end.
    #[snafu(display(
        "{}: damaged at byte {offset}; restore the data folder or replace this control host",
        path.display()
    ))]
    Damaged {
        /// The file.
        path: PathBuf,
        /// The first damaged byte.
        offset: u64,
    },
    /// State in the data folder or from the leader has a format that this release cannot read.
    #[snafu(display("{what} {cause}; install the release that wrote it again"))]
    Unreadable {
        /// The state that cannot be read, and its entry.
        what: String,
        /// Why.
        cause: String,
    },
    /// Another process has locked the data folder.
    #[snafu(display("{}: the data folder is in use by another process", path.display()))]
    Locked {
        /// The folder.
        path: PathBuf,
    },
    /// An operator call was answered with an error.
    #[snafu(display("{message}"))]
    Rpc {
        /// The other side's message.
        message: String,
    },
    /// A load run or report could not be made.
    #[snafu(display("{message}"))]
    Load {
        /// What is wrong.
        message: String,
    },
}

/// The result of operations on files or sockets.
pub type Result<T, E = Error> = std::result::Result<T, E>;
