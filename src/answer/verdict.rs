//! Deciding whether an answer was whole.

use super::framing::Framing;

/// How the connection ended a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// Where its framing says, or by an orderly close if it has none.
    Clean,
    /// By an orderly close before the end that its framing announced.
    ClosedEarly,
    /// By a reset, or another failure of the connection.
    Reset,
    /// By bytes that are no valid framing.
    Invalid,
    /// It had more bytes than are accepted.
    TooLong,
    /// The router held too many bytes of answers, of which this one was the largest.
    NoMemory,
}

/// Where the content of a body ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ContentEnd {
    /// The content shows no end.
    Opaque,
    /// Between two events.
    BetweenEvents,
    /// Inside an event.
    InsideEvent,
    /// Before the event that ends every whole body, in a protocol that has one.
    BeforeFinalEvent,
}

/// How a body ended, in all that can be told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BodyEnd {
    /// How its end was to be marked.
    pub framing: Framing,
    /// How the connection ended it.
    pub ending: Ending,
    /// Where its content ended.
    pub content: ContentEnd,
}

impl BodyEnd {
    /// Decides whether the answer was whole.
    pub fn verdict(self) -> Result<Completeness, BrokenAnswer> {
        match (self.ending, self.content) {
            (Ending::Clean, ContentEnd::Opaque | ContentEnd::BetweenEvents) => {
                Ok(match self.framing {
                    Framing::Length | Framing::Chunks => Completeness::Stated,
                    Framing::Connection => Completeness::Unstated,
                })
            }
            _ => Err(BrokenAnswer { end: self }),
        }
    }

    /// The name of the ending in logs and metrics.
    pub fn name(self) -> &'static str {
        match (self.ending, self.content) {
            (Ending::Clean, ContentEnd::InsideEvent) => "inside_event",
            (Ending::Clean, ContentEnd::BeforeFinalEvent) => "before_final_event",
            (Ending::Clean, _) => "clean",
            (Ending::ClosedEarly, _) => "closed_early",
            (Ending::Reset, _) => "reset",
            (Ending::Invalid, _) => "invalid",
            (Ending::TooLong, _) => "too_long",
            (Ending::NoMemory, _) => "no_memory",
        }
    }
}

/// What an endpoint stated about an answer that may be whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Completeness {
    /// The answer is whole.
    Stated,
    /// Nothing: the endpoint closed the connection, and the answer may have been broken off.
    Unstated,
}

/// An answer that is not whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq, snafu::Snafu)]
#[snafu(display("framed by {}, ended {}", end.framing.name(), end.name()))]
pub struct BrokenAnswer {
    end: BodyEnd,
}

impl BrokenAnswer {
    /// Whether the connection ended with the answer, as it does when an endpoint crashes.
    pub fn has_closed(self) -> bool {
        match self.end.ending {
            Ending::ClosedEarly | Ending::Reset => true,
            Ending::Clean => self.end.framing == Framing::Connection,
            Ending::Invalid | Ending::TooLong | Ending::NoMemory => false,
        }
    }
}
