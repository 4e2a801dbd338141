//! A request that crashes every replica that runs it, asked at any router while faults come,
//! and others beside it.

use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::actors::{Stage, exchange};
use crate::comes_about;
use crate::history::Call;
use crate::http::Answer;
use crate::registrations::{Said, epoch_ms, register_for};
use crate::replica::{Behaviour, Replica};

const CRASHES: &str = "the body that crashes";
/// Replicas of the service that nothing else uses.
const REPLICAS: usize = 3;
const AFTER: Duration = Duration::from_millis(20);
/// Between two requests of each kind.
const PAUSE: Duration = Duration::from_millis(120);
/// How long the fleet may take to learn of the third crash, once no more faults come.
const TO_LEARN: Duration = Duration::from_secs(3);
const PATIENCE: Duration = Duration::from_secs(4);

/// Replicas that crash, those that follow them, and who asks them.
pub struct Crashers {
    stage: Stage,
    rng: SmallRng,
    live: Vec<Replica>,
    started: usize,
    asked: usize,
}

impl Crashers {
    pub fn new(stage: Stage, seed: u64) -> Crashers {
        let rng = SmallRng::seed_from_u64(seed);
        Crashers { stage, rng, live: Vec::new(), started: 0, asked: 0 }
    }

    /// Asks for as long as the soak goes on.
    pub async fn ask_on(mut self) -> Crashers {
        while !self.stage.is_over() {
            self.replace().await;
            let router = self.rng.random_range(0..self.stage.fleet.size.routers);
            self.ask(router, CRASHES).await;
            self.ask_innocent(router).await;
            tokio::time::sleep(PAUSE).await;
        }
        self
    }

    fn crashed(&self) -> usize {
        self.started - self.live.iter().filter(|replica| !replica.has_crashed()).count()
    }

    /// Starts another replica for each that has crashed, and has all of them registered.
    async fn replace(&mut self) {
        self.live.retain(|replica| !replica.has_crashed());
        while self.live.len() < REPLICAS {
            let others = Box::new(Behaviour::Answer);
            let behaviour = Behaviour::CrashOn { body: CRASHES, after: AFTER, others };
            self.live.push(Replica::start(&format!("i-frail-{}", self.started), behaviour).await);
            self.started += 1;
        }
        for replica in &self.live {
            let (born, sequence) = (1, epoch_ms());
            let said = Said { version: "v1", state: "ready", born, sequence };
            // Unanswered, it is sent again at the next turn.
            register_for("frail", &self.stage, &mut self.rng, replica, said).await;
        }
    }

    async fn ask(&mut self, router: usize, body: &str) -> (String, Option<Answer>) {
        self.asked += 1;
        let id = format!("frail-{}", self.asked);
        let text = format!(
            "POST /frail/x HTTP/1.1\r\nHost: shop.example\r\nBramblecrank-Attempt-Id: {id}\r\n\
             Bramblecrank-Deadline-Ms: 3000\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
            body.len()
        );
        let answer = exchange(self.stage.fleet.front(router), &text, PATIENCE).await;
        (id, answer)
    }

    async fn ask_innocent(&mut self, router: usize) {
        let body = format!("innocent {}", self.asked);
        let (id, answer) = self.ask(router, &body).await;
        let is_mistaken = answer.as_ref().is_some_and(|a| a.body == "crashes_endpoints");
        let answer = answer.map(|answer| (answer.status, answer.body, answer.complete));
        self.stage.note(|h| {
            if is_mistaken {
                h.mistaken.push(id.clone());
            }
            h.calls.push(Call { id, router, told: None, once: false, answer });
        });
    }

    /// Once the faults are over: whether every router refuses what crashes replicas, and none
    /// runs it any more.
    pub async fn refused_everywhere(mut self) -> bool {
        let routers = self.stage.fleet.size.routers;
        let first = self.crashed();
        let learnt_by = Instant::now() + TO_LEARN;
        while Instant::now() < learnt_by || (first < 3 && self.crashed() < 3) {
            self.replace().await;
            self.ask(self.asked % routers, CRASHES).await;
        }
        let before = self.crashed();
        println!("{before} replicas crashed, {} of them after the last fault", before - first);
        for router in 0..routers {
            let (_, answer) = self.ask(router, CRASHES).await;
            let is_refused = answer.is_some_and(|answer| answer.body == "crashes_endpoints");
            if !is_refused || self.crashed() > before {
                return false;
            }
        }
        // Others are served by what is left.
        self.replace().await;
        let shared = tokio::sync::Mutex::new(self);
        comes_about(async || {
            let mut crashers = shared.lock().await;
            let (_, answer) = crashers.ask(0, "the last innocent").await;
            answer.is_some_and(|answer| answer.status == 200)
        })
        .await
    }
}
