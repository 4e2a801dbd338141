//! One endpoint that starts again and again, and a router that hears of it late.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::ops::Range;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::ways::{May, Router, Way};

pub const ENDPOINT: &str = "e";
/// Milliseconds between the endpoint's first and last start.
const DAY_MS: u64 = 120_000;
/// Milliseconds of the day by the router's clock when it begins: clocks may be behind.
const DAWN_MS: u64 = 1_000_000;
/// Milliseconds from a start's end to the next one.
const DOWN_MS: Range<u64> = 100..1_000;
/// Milliseconds for a question and its answer, and until one that got none is repeated.
const QUESTION_MS: Range<u64> = 1..20;
const REPEAT_MS: u64 = 200;
/// Milliseconds for which a start must take work to count as usable.
const USABLE_MS: u64 = 2_500;
const REST_MS: Range<u64> = 300..4_000;
const NEWS_MS: Range<u64> = 10..150;

/// A kind of day.
#[derive(Clone, Debug)]
pub struct Kind {
    pub name: &'static str,
    /// How long a start lives, in milliseconds.
    pub lives_ms: Range<u64>,
    /// How late news of a start is, and of how many it is so late.
    pub late_news_ms: Range<u64>,
    pub late_share: f64,
    /// By how much the endpoint's clock is ahead.
    pub skew_ms: i64,
    pub requests_per_s: f64,
    /// How long an answer takes.
    pub answers_ms: Range<u64>,
}

#[derive(Debug, Default)]
pub struct Figures {
    pub requests: u64,
    /// Requests that reached a start after the router had its word that it wants none.
    pub broken: u64,
    /// Starts that took work for long enough once they were known, and those never used.
    pub usable: u64,
    pub unused: u64,
    /// From when a usable start could be sent to until it was, in all and at most.
    pub waited_ms: u64,
    pub longest_wait_ms: u64,
    pub questions: u64,
}

impl Figures {
    pub fn add(&mut self, other: &Figures) {
        self.requests += other.requests;
        self.broken += other.broken;
        self.usable += other.usable;
        self.unused += other.unused;
        self.waited_ms += other.waited_ms;
        self.longest_wait_ms = self.longest_wait_ms.max(other.longest_wait_ms);
        self.questions += other.questions;
    }
}

/// A start as the router knows it.
#[derive(Clone, Copy, Debug)]
pub struct Known {
    pub number: u64,
    pub born_ms: u64,
}

/// What a head says.
#[derive(Clone, Copy, Debug)]
pub struct Said {
    pub leaves: bool,
    pub rests_ms: Option<u64>,
}

/// A start as it is.
struct Start {
    begins: u64,
    ends: u64,
    leaves_at: u64,
    rest: Range<u64>,
    known_at: u64,
    /// When the router first sent it a request while it was known.
    used_at: Option<u64>,
}

impl Start {
    fn draw(kind: &Kind, rng: &mut SmallRng, begins: u64) -> Start {
        let ends = begins + rng.random_range(kind.lives_ms.clone());
        let within = |rng: &mut SmallRng| rng.random_range(begins..ends);
        // A third leaves before it ends, a third rests at some time, some from the first.
        let leaves_at = if rng.random_bool(0.33) { within(rng) } else { u64::MAX };
        let rest_at = if rng.random_bool(0.5) { begins } else { within(rng) };
        let rest_ms = if rng.random_bool(0.33) { rng.random_range(REST_MS) } else { 0 };
        let is_late = rng.random_bool(kind.late_share);
        let news = if is_late { kind.late_news_ms.clone() } else { NEWS_MS };
        let known_at = begins + rng.random_range(news);
        Start { begins, ends, leaves_at, rest: rest_at..rest_at + rest_ms, known_at, used_at: None }
    }

    fn accepts_requests(&self, now: u64) -> bool {
        now >= self.begins && now < self.ends.min(self.leaves_at) && !self.rest.contains(&now)
    }

    fn says(&self, now: u64) -> Said {
        let rests_ms = self.rest.contains(&now).then(|| self.rest.end - now);
        Said { leaves: now >= self.leaves_at, rests_ms }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum What {
    Comes,
    /// An answer of the start of this number to a request sent to another that was known.
    Answered {
        by: usize,
        sent_to: usize,
    },
    Asked {
        sent_to: usize,
        by: Option<usize>,
    },
}

struct Day<'a> {
    kind: &'a Kind,
    rng: SmallRng,
    now: u64,
    starts: Vec<Start>,
    router: Router,
    events: BinaryHeap<Reverse<(u64, usize, What)>>,
    number: usize,
    /// What each start said that reached the router: that it leaves, or until when it rests.
    told: BTreeMap<usize, (bool, u64)>,
    is_asking: bool,
    figures: Figures,
}

pub fn play(kind: &Kind, way: Way, seed: u64) -> Figures {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut starts = Vec::new();
    let mut begins = DAWN_MS;
    while begins < DAWN_MS + DAY_MS {
        let start = Start::draw(kind, &mut rng, begins);
        begins = start.ends + rng.random_range(DOWN_MS);
        starts.push(start);
    }
    let mut day = Day {
        kind,
        rng,
        now: DAWN_MS,
        starts,
        router: Router::new(way),
        events: BinaryHeap::new(),
        number: 0,
        told: BTreeMap::new(),
        is_asking: false,
        figures: Figures::default(),
    };
    day.later(0, What::Comes);
    while let Some(Reverse((at, _, what))) = day.events.pop() {
        day.now = at;
        match what {
            What::Comes => day.comes(),
            What::Answered { by, sent_to } => day.answered(by, sent_to),
            What::Asked { sent_to, by } => day.asked(sent_to, by),
        }
    }
    day.evaluate()
}

impl Day<'_> {
    fn later(&mut self, ms: u64, what: What) {
        self.number += 1;
        self.events.push(Reverse((self.now + ms, self.number, what)));
    }

    /// The latest start that the router has heard of.
    fn known(&self) -> Option<usize> {
        self.starts.iter().rposition(|start| start.known_at <= self.now)
    }

    fn as_known(&self, number: usize) -> Known {
        let born_ms = self.starts[number].begins.saturating_add_signed(self.kind.skew_ms);
        Known { number: number as u64 + 1, born_ms }
    }

    /// The start that is there.
    fn there(&self) -> Option<usize> {
        self.starts.iter().position(|start| (start.begins..start.ends).contains(&self.now))
    }

    fn comes(&mut self) {
        if self.now >= DAWN_MS + DAY_MS {
            return;
        }
        let gap = -self.rng.random::<f64>().max(1e-12).ln() * 1_000.0 / self.kind.requests_per_s;
        self.later(gap as u64 + 1, What::Comes);
        let Some(number) = self.known() else { return };
        let known = self.as_known(number);
        match self.router.may(self.now, known) {
            May::Wait => {}
            May::AskFirst if self.is_asking => {}
            May::AskFirst => self.ask(number),
            May::Send => self.send(number, known),
        }
    }

    fn send(&mut self, number: usize, known: Known) {
        self.figures.requests += 1;
        self.router.sent(self.now, known);
        let Some(by) = self.there() else { return };
        if let Some((leaves, rests_until)) = self.told.get(&by)
            && (*leaves || *rests_until > self.now)
        {
            self.figures.broken += 1;
        }
        if by == number {
            self.starts[by].used_at.get_or_insert(self.now);
        }
        let turned_away = self.starts[by].says(self.now).rests_ms.is_some();
        let takes = if turned_away { 1..3 } else { self.kind.answers_ms.clone() };
        let takes = self.rng.random_range(takes);
        self.later(takes, What::Answered { by, sent_to: number });
    }

    fn answered(&mut self, by: usize, sent_to: usize) {
        // It has crashed before the answer.
        if self.now >= self.starts[by].ends {
            return;
        }
        self.hear(by, sent_to);
    }

    fn hear(&mut self, by: usize, sent_to: usize) {
        let said = self.starts[by].says(self.now);
        let told = self.told.entry(by).or_default();
        told.0 |= said.leaves;
        told.1 = told.1.max(said.rests_ms.map_or(0, |time| self.now + time));
        let known = self.known().unwrap_or(sent_to);
        let (sent_to, known) = (self.as_known(sent_to), self.as_known(known));
        self.router.answered(self.now, sent_to, known, said);
    }

    fn ask(&mut self, number: usize) {
        self.figures.questions += 1;
        self.is_asking = true;
        let by = self.there();
        let takes = if by.is_some() { self.rng.random_range(QUESTION_MS) } else { REPEAT_MS };
        self.later(takes, What::Asked { sent_to: number, by });
    }

    fn asked(&mut self, sent_to: usize, by: Option<usize>) {
        self.is_asking = false;
        if let Some(by) = by.filter(|by| self.now < self.starts[*by].ends) {
            self.hear(by, sent_to);
        }
    }

    fn evaluate(mut self) -> Figures {
        for start in &self.starts {
            // From when it was known and took work, until it wanted none.
            let rests_at_first = start.rest.contains(&start.known_at);
            let from = if rests_at_first { start.rest.end } else { start.known_at };
            let rest_begins = if start.rest.start > from { start.rest.start } else { u64::MAX };
            let until = start.ends.min(start.leaves_at).min(rest_begins);
            if until < from + USABLE_MS || until > DAWN_MS + DAY_MS {
                continue;
            }
            debug_assert!(start.accepts_requests(from));
            self.figures.usable += 1;
            match start.used_at {
                Some(at) if at < until => {
                    let waited = at.saturating_sub(from);
                    self.figures.waited_ms += waited;
                    self.figures.longest_wait_ms = self.figures.longest_wait_ms.max(waited);
                }
                _ => self.figures.unused += 1,
            }
        }
        self.figures
    }
}
