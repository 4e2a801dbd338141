//! Finding the ends of server-sent events in a stream of bytes.

use bytes::{Bytes, BytesMut};

/// Maximum length of an event that is buffered, in bytes.
pub const MAX_EVENT_BYTES: usize = 1 << 20;
const BYTE_ORDER_MARK: &[u8] = "\u{feff}".as_bytes();

/// What the current line is, by its first byte.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Line {
    Empty,
    Comment,
    Field,
}

/// Tracks whether a stream stands between two events or inside one.
///
/// A line ends with LF, CRLF or CR, and an event with an empty line. Comments belong to no event.
#[derive(Clone, Debug)]
pub struct EventScanner {
    line: Line,
    /// Whether the current event has a complete line.
    has_fields: bool,
    /// Whether the last byte was a CR, which an LF may follow as part of the same line end.
    after_cr: bool,
    /// What is left of a byte order mark that the stream may begin with.
    expected_mark: &'static [u8],
    /// Number of bytes since the stream last stood between two events.
    open_bytes: usize,
    /// Whether an event is complete.
    has_event: bool,
}

impl Default for EventScanner {
    fn default() -> EventScanner {
        EventScanner {
            line: Line::Empty,
            has_fields: false,
            after_cr: false,
            expected_mark: BYTE_ORDER_MARK,
            open_bytes: 0,
            has_event: false,
        }
    }
}

impl EventScanner {
    /// Whether every event that has begun is complete.
    pub fn is_between_events(&self) -> bool {
        self.line == Line::Empty && !self.has_fields
    }

    /// Scans the next bytes of the stream.
    pub fn scan(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.scan_byte(*byte);
            self.open_bytes = if self.is_between_events() { 0 } else { self.open_bytes + 1 };
        }
    }

    /// Whether the stream had a complete event so far.
    pub fn has_event(&self) -> bool {
        self.has_event
    }

    /// Length so far of the event that has begun, or of the line of a comment.
    pub fn open_bytes(&self) -> usize {
        self.open_bytes
    }

    /// Scans the next byte of the stream.
    pub fn scan_byte(&mut self, byte: u8) {
        if let [expected, rest @ ..] = self.expected_mark {
            let is_mark = *expected == byte;
            self.expected_mark = if is_mark { rest } else { &[] };
            if is_mark {
                return;
            }
        }
        let follows_cr = std::mem::replace(&mut self.after_cr, byte == b'\r');
        match (byte, self.line) {
            (b'\n', _) if follows_cr => {}
            (b'\n' | b'\r', line) => {
                match line {
                    Line::Empty => self.has_event |= std::mem::take(&mut self.has_fields),
                    Line::Comment => {}
                    Line::Field => self.has_fields = true,
                }
                self.line = Line::Empty;
            }
            (b':', Line::Empty) => self.line = Line::Comment,
            (_, Line::Empty) => self.line = Line::Field,
            _ => {}
        }
    }
}

/// Buffers a stream until its events are complete.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    scanner: EventScanner,
    /// Number of bytes at the start of the buffer that were scanned.
    scanned: usize,
    /// Number of bytes up to the end of the last complete event.
    complete: usize,
}

impl EventSplitter {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Takes the next complete event; `None` while there is none.
    pub fn take_event(&mut self) -> Option<Bytes> {
        while self.scanned < self.buffer.len() {
            let was_inside = !self.scanner.is_between_events();
            self.scan_next();
            if was_inside && self.scanner.is_between_events() {
                if self.scanner.after_cr && self.buffer.get(self.scanned) == Some(&b'\n') {
                    self.scan_next();
                }
                return Some(self.take_complete());
            }
        }
        None
    }

    /// Takes everything up to the end of the last complete event.
    pub fn take_events(&mut self) -> Bytes {
        while self.scanned < self.buffer.len() {
            self.scan_next();
        }
        self.take_complete()
    }

    /// Takes everything, incomplete events too.
    pub fn take_all(&mut self) -> Bytes {
        while self.scanned < self.buffer.len() {
            self.scan_next();
        }
        self.complete = self.scanned;
        self.take_complete()
    }

    /// Number of bytes that were not taken.
    pub fn buffered(&self) -> usize {
        self.buffer.len()
    }

    fn scan_next(&mut self) {
        self.scanner.scan_byte(self.buffer[self.scanned]);
        self.scanned += 1;
        if self.scanner.is_between_events() {
            self.complete = self.scanned;
        }
    }

    fn take_complete(&mut self) -> Bytes {
        let length = std::mem::take(&mut self.complete);
        self.scanned -= length;
        self.buffer.split_to(length).freeze()
    }
}

/// The lines of complete events, without their line ends.
pub fn lines(events: &[u8]) -> impl DoubleEndedIterator<Item = &[u8]> {
    // A CRLF yields an empty line more, which holds no field.
    events.split(|byte| matches!(byte, b'\n' | b'\r'))
}

/// The value of a line that holds the field `name`.
pub fn field<'a>(line: &'a [u8], name: &str) -> Option<&'a [u8]> {
    match line.strip_prefix(name.as_bytes())? {
        [] => Some(&[]),
        [b':', b' ', value @ ..] | [b':', value @ ..] => Some(value),
        _ => None,
    }
}
