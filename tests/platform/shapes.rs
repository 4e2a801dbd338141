//! The ways in which a replica can frame and end an answer. A request states the one that it
//! wants in its path, so that callers know what they must be told.

use crate::http::Framing;

/// How a replica frames an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicaFraming {
    Length,
    Chunks,
    /// Neither a length nor chunks.
    Connection,
    /// The same as an answer of HTTP/1.0.
    Http10,
}

/// How a replica ends an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// Whole.
    Whole,
    /// Early, where its framing nevertheless says that it is whole.
    Framed(Place),
    /// Early, by an orderly close of the connection.
    Closed(Place),
    /// Early, by a reset of the connection.
    Reset(Place),
}

/// Where an answer is broken off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Place {
    BetweenEvents,
    InsideEvent,
}

impl Ending {
    /// Where the answer is broken off, if it is.
    pub fn place(self) -> Option<Place> {
        match self {
            Ending::Whole => None,
            Ending::Framed(place) | Ending::Closed(place) | Ending::Reset(place) => Some(place),
        }
    }
}

/// What a caller is told of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Told {
    Whole,
    /// Nothing: the answer ends with the connection, as the replica's did.
    Nothing,
    Broken,
}

/// How a replica delivers an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shape {
    pub framing: ReplicaFraming,
    /// What ends each line of an event; an event ends with two.
    pub line_end: &'static str,
    pub ending: Ending,
}

const FRAMINGS: [(&str, ReplicaFraming); 4] = [
    ("length", ReplicaFraming::Length),
    ("chunks", ReplicaFraming::Chunks),
    ("connection", ReplicaFraming::Connection),
    ("http10", ReplicaFraming::Http10),
];
const LINE_ENDS: [(&str, &str); 3] = [("lf", "\n"), ("crlf", "\r\n"), ("cr", "\r")];
const ENDINGS: [(&str, Ending); 7] = [
    ("whole", Ending::Whole),
    ("framed-between", Ending::Framed(Place::BetweenEvents)),
    ("framed-inside", Ending::Framed(Place::InsideEvent)),
    ("closed-between", Ending::Closed(Place::BetweenEvents)),
    ("closed-inside", Ending::Closed(Place::InsideEvent)),
    ("reset-between", Ending::Reset(Place::BetweenEvents)),
    ("reset-inside", Ending::Reset(Place::InsideEvent)),
];

fn named<T: Copy>(values: &[(&str, T)], name: &str) -> Option<T> {
    values.iter().find(|(known, _)| *known == name).map(|(_, value)| *value)
}

fn name_of<T: PartialEq>(values: &[(&'static str, T)], value: T) -> &'static str {
    values.iter().find(|(_, known)| *known == value).unwrap().0
}

impl Shape {
    /// All shapes.
    pub fn all() -> Vec<Shape> {
        let mut all = Vec::new();
        for (_, framing) in FRAMINGS {
            for (_, line_end) in LINE_ENDS {
                for (_, ending) in ENDINGS {
                    all.push(Shape { framing, line_end, ending });
                }
            }
        }
        all
    }

    /// Its name as one segment of a path.
    pub fn name(self) -> String {
        let framing = name_of(&FRAMINGS, self.framing);
        let line_end = name_of(&LINE_ENDS, self.line_end);
        format!("{framing}.{line_end}.{}", name_of(&ENDINGS, self.ending))
    }

    /// The shape that a path names in one of its segments.
    pub fn in_path(path: &str) -> Option<Shape> {
        path.split('/').find_map(|segment| {
            let mut words = segment.split('.');
            let framing = named(&FRAMINGS, words.next()?)?;
            let line_end = named(&LINE_ENDS, words.next()?)?;
            let ending = named(&ENDINGS, words.next()?)?;
            Some(Shape { framing, line_end, ending })
        })
    }

    fn is_framed(self) -> bool {
        matches!(self.framing, ReplicaFraming::Length | ReplicaFraming::Chunks)
    }

    /// What its caller must be told if nothing else happens. Where the replica's own framing says
    /// that the answer is whole, or where it says nothing, only an event that is incomplete shows
    /// that it is not.
    pub fn told(self) -> Told {
        let as_replica = if self.is_framed() { Told::Whole } else { Told::Nothing };
        match self.ending {
            Ending::Whole | Ending::Framed(Place::BetweenEvents) => as_replica,
            Ending::Closed(Place::BetweenEvents) if !self.is_framed() => Told::Nothing,
            _ => Told::Broken,
        }
    }
}

impl Shape {
    /// What the caller of an answer without events must be told: only the replica's framing and its
    /// connection tell something.
    pub fn told_of_plain(self) -> Told {
        match (self.ending, self.is_framed()) {
            (Ending::Whole | Ending::Framed(_), true) => Told::Whole,
            (Ending::Whole | Ending::Framed(_) | Ending::Closed(_), false) => Told::Nothing,
            (Ending::Closed(_), true) | (Ending::Reset(_), _) => Told::Broken,
        }
    }
}

/// What a caller was told, by the framing of the answer and whether that ended as it should.
pub fn told(framing: Framing, complete: bool) -> Told {
    match (complete, framing) {
        (false, _) => Told::Broken,
        (true, Framing::Connection) => Told::Nothing,
        (true, Framing::Length | Framing::Chunks) => Told::Whole,
    }
}

/// An answer as a replica writes it.
pub struct Rendered {
    /// `HTTP/1.0` or `HTTP/1.1`.
    pub version: &'static str,
    /// The headers that frame it.
    pub headers: String,
    /// What is written, one piece after the other.
    pub pieces: Vec<String>,
    /// How the connection goes on after the last piece.
    pub connection: AfterAnswer,
}

/// What becomes of the connection after an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AfterAnswer {
    Kept,
    Closed,
    Reset,
}

impl Shape {
    /// The shape of an answer whose path names none.
    pub const DEFAULT: Shape =
        Shape { framing: ReplicaFraming::Chunks, line_end: "\n", ending: Ending::Whole };

    /// An event in the line ends of this shape.
    pub fn event(self, id: u32, data: &str) -> String {
        let end = self.line_end;
        format!("id: {id}{end}data: {data}{end}{end}")
    }

    /// Frames an answer of these pieces and breaks it off where this shape says, after half of
    /// them.
    pub fn render(self, pieces: &[String]) -> Rendered {
        let whole: usize = pieces.iter().map(String::len).sum();
        let mut sent = pieces.to_vec();
        if let Some(place) = self.ending.place() {
            let next = sent.split_off(pieces.len() / 2);
            if place == Place::InsideEvent {
                sent.extend(next.first().map(|piece| piece[..piece.len() / 2].to_string()));
            }
        }
        let length = match self.ending {
            Ending::Framed(_) => sent.iter().map(String::len).sum(),
            _ => whole,
        };
        let is_framed_whole = matches!(self.ending, Ending::Whole | Ending::Framed(_));
        let (version, headers) = match self.framing {
            ReplicaFraming::Length => ("HTTP/1.1", format!("Content-Length: {length}\r\n")),
            ReplicaFraming::Chunks => ("HTTP/1.1", "Transfer-Encoding: chunked\r\n".into()),
            ReplicaFraming::Connection => ("HTTP/1.1", String::new()),
            ReplicaFraming::Http10 => ("HTTP/1.0", String::new()),
        };
        if self.framing == ReplicaFraming::Chunks {
            sent = sent.iter().map(|piece| format!("{:x}\r\n{piece}\r\n", piece.len())).collect();
            if is_framed_whole {
                sent.push("0\r\n\r\n".into());
            }
        }
        let connection = match self.ending {
            Ending::Reset(_) => AfterAnswer::Reset,
            Ending::Closed(_) => AfterAnswer::Closed,
            _ if self.is_framed() => AfterAnswer::Kept,
            _ => AfterAnswer::Closed,
        };
        Rendered { version, headers, pieces: sent, connection }
    }
}
