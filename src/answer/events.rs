//! Finding the ends of server-sent events in a stream of bytes.

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
}

impl Default for EventScanner {
    fn default() -> EventScanner {
        EventScanner {
            line: Line::Empty,
            has_fields: false,
            after_cr: false,
            expected_mark: BYTE_ORDER_MARK,
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
        bytes.iter().for_each(|byte| self.scan_byte(*byte));
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
                    Line::Empty => self.has_fields = false,
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
