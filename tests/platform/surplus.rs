//! Replicas that send a second answer to an earlier request where the next answer is expected.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

use super::fleet::{Fleet, configuration};
use super::http::call;
use super::replica::{Behaviour, Replica, read_request};
use super::{get, post};

/// Statuses and headers of surplus answers, each of which states something about its endpoint, its
/// connection or its request.
const SURPLUS: [(u16, &str); 6] = [
    (503, "Bramblecrank-Not-Executed: 1\r\n"),
    (503, "Bramblecrank-Not-Executed: 1\r\nRetry-After: 600\r\n"),
    (421, "Bramblecrank-Not-Executed: 1\r\n"),
    (200, "Server-Leaving: 1\r\n"),
    (429, "Bramblecrank-Not-Executed: 1\r\nKeep-Alive: timeout=600\r\n"),
    (200, "Keep-Alive: timeout=600\r\n"),
];

/// A replica that runs every request, and answers the one before it once more if that came on the
/// same connection.
#[derive(Clone)]
struct LateReplica {
    id: String,
    address: SocketAddr,
    surplus: (u16, &'static str),
    runs: Arc<Mutex<Vec<String>>>,
    /// Whether a surplus answer names the earlier request.
    names_request: bool,
}

impl LateReplica {
    async fn start(id: &str, surplus: (u16, &'static str), names_request: bool) -> LateReplica {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let runs = Arc::default();
        let replica = LateReplica { id: id.into(), address, surplus, runs, names_request };
        let accepting = replica.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let replica = accepting.clone();
                tokio::spawn(async move { replica.serve(stream).await });
            }
        });
        replica
    }

    async fn serve(&self, mut stream: TcpStream) {
        let mut earlier = None;
        while let Some(request) = read_request(&mut stream).await {
            let id = request.id();
            self.runs.lock().unwrap().push(id.clone());
            let (status, headers) = self.surplus;
            let mut text = String::new();
            if let Some(earlier) = earlier.replace(id.clone()) {
                let earlier = self.names_request.then_some(earlier);
                text += &self.answer(status, earlier.as_deref(), headers, "another's answer");
            }
            text += &self.answer(200, Some(&id), "", &format!("answer to {id}"));
            if stream.write_all(text.as_bytes()).await.is_err() {
                return;
            }
        }
    }

    fn answer(&self, status: u16, id: Option<&str>, headers: &str, body: &str) -> String {
        let id = id.map(|id| format!("Bramblecrank-Attempt-Id: {id}\r\n")).unwrap_or_default();
        format!(
            "HTTP/1.1 {status} X\r\n{id}Bramblecrank-Replica-Seal: seal-{}\r\n{headers}\
             Content-Length: {}\r\n\r\n{body}",
            self.id,
            body.len()
        )
    }
}

async fn fleet_of(replicas: &[LateReplica]) -> Fleet {
    let mut fleet = Fleet::start().await;
    for replica in replicas {
        let body = format!(
            r#"{{"service":"app","address":"{}","zone":"a","version":"v1","slots":6,"state":"ready","warmupLeftMs":0,"callSeq":1}}"#,
            replica.address
        );
        assert_eq!(fleet.heartbeat(&replica.id, &body).await, 200);
    }
    fleet.configure(&configuration(1)).await;
    fleet.wait_ready().await;
    fleet.restart_router_retrying().await;
    fleet
}

fn runs(replicas: &[LateReplica], id: &str) -> usize {
    let count = |replica: &LateReplica| {
        replica.runs.lock().unwrap().iter().filter(|run| run.as_str() == id).count()
    };
    replicas.iter().map(count).sum()
}

#[tokio::test]
async fn a_late_answer_to_another_request_states_nothing_about_the_present_one() {
    for names in [true, false] {
        for surplus in SURPLUS {
            let replicas = [
                LateReplica::start("i-one", surplus, names).await,
                LateReplica::start("i-two", surplus, names).await,
            ];
            let fleet = fleet_of(&replicas).await;
            let mut surplus_seen = 0;
            for number in 0..12 {
                let id = format!("r{number}");
                let answer = call(fleet.front, &post("/once/x", &id, "seat")).await;
                assert_eq!(runs(&replicas, &id), 1, "{surplus:?}, named: {names}");
                match answer.status {
                    200 => assert_eq!(answer.body, format!("answer to {id}")),
                    502 => surplus_seen += 1,
                    status => panic!("{status} for a request that ran: {surplus:?}"),
                }
            }
            assert!(surplus_seen > 0, "no connection was used twice");
            let counted =
                fleet.metric(r#"bramblecrank_gateway_surplus_answers_total{service="app"}"#).await;
            assert_eq!(counted, surplus_seen, "{surplus:?}, named: {names}");
        }
    }
}

#[tokio::test]
async fn an_idempotent_request_gets_its_own_answer_in_spite_of_a_late_one() {
    for surplus in SURPLUS {
        let late = LateReplica::start("i-late", surplus, true).await;
        let sound = Replica::start("i-sound", Behaviour::Answer).await;
        let fleet = fleet_of(std::slice::from_ref(&late)).await;
        fleet.register(&sound, "ready", 1).await;
        fleet.settle().await;
        for number in 0..12 {
            let id = format!("r{number}");
            let answer = call(fleet.front, &get("/safe/x", &id)).await;
            assert_eq!(answer.status, 200, "{surplus:?}");
            assert_eq!(answer.body, format!("answer to {id}"));
        }
    }
}
