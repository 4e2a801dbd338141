//! Crowds of clients that send more than a process can hold, or stop sending and stay connected.
//!
//! What is checked does not depend on the speed of the machine: the processes live, their memory and
//! descriptors stay within those of the users' machines, and an ordinary request is answered while
//! the crowd is still connected. The tests run one at a time.

#[path = "crowds/bodies.rs"]
mod bodies;
#[path = "crowds/clients.rs"]
mod clients;
#[path = "crowds/connections.rs"]
mod connections;
#[path = "crowds/control_hosts.rs"]
mod control_hosts;
#[path = "crowds/own_interface.rs"]
mod own_interface;
#[path = "crowds/process.rs"]
mod process;
// Shared with the scenarios, which use more of it.
#[allow(dead_code)]
#[path = "scenarios/fleet.rs"]
mod site_fleet;
// Shared with the tests of the platform, which use more of these items.
#[allow(dead_code)]
#[path = "platform/fleet.rs"]
mod fleet;
#[allow(dead_code)]
#[path = "platform/http.rs"]
mod http;
#[allow(dead_code)]
#[path = "platform/replica.rs"]
mod replica;
#[allow(dead_code)]
#[path = "platform/shapes.rs"]
mod shapes;

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::{Mutex, MutexGuard};

use fleet::{Fleet, configuration};
use http::read_answer;
use process::Limits;
use replica::{Behaviour, Replica};

/// The largest body that the configuration allows.
const MAX_BODY_BYTES: usize = 4 << 20;
/// What a router's machine has.
const ROUTER: Limits = Limits { memory_bytes: 260_000_000, descriptors: 4_100 };
/// What a control host's machine has.
const CONTROL_HOST: Limits = Limits { memory_bytes: 256_000_000, descriptors: 4_096 };
/// How often an ordinary caller sends its request again that was refused as not run.
const MAX_TRIES: usize = 100;
/// Pause of an ordinary caller before the next try.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());

/// Keeps other tests of this file from running beside one.
async fn alone() -> MutexGuard<'static, ()> {
    ONE_AT_A_TIME.lock().await
}

/// A fleet whose routes and limits let no crowd end by its time, on machines like those of the
/// users.
async fn fleet_with(behaviour: Behaviour) -> (Fleet, Replica) {
    let mut fleet = Fleet::start().await;
    let replica = Replica::start("i-one", behaviour).await;
    fleet.register(&replica, "ready", 1).await;
    fleet.configure(&patient_configuration(1)).await;
    fleet.restart_router_with_descriptors(ROUTER.descriptors).await;
    (fleet, replica)
}

fn patient_configuration(version: u64) -> String {
    configuration(version)
        .replace("\"maxBodyBytes\":4096", &format!("\"maxBodyBytes\":{MAX_BODY_BYTES}"))
        .replace("\"timeoutMs\":2000", "\"timeoutMs\":60000")
        .replace("\"headerTimeoutMs\":3000", "\"headerTimeoutMs\":60000")
        .replace("\"idleTimeoutMs\":15000", "\"idleTimeoutMs\":600000")
}

/// The head of a request by a customer, without the empty line that ends it.
fn head(path: &str, id: &str, key: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: shop.example\r\nBramblecrank-Attempt-Id: {id}\r\n\
         Bramblecrank-Deadline-Ms: 60000\r\nApi-Key: {key}\r\n"
    )
}

/// Sends a small request until it is answered 200, like callers do that are told that it has not
/// run. Fails after [`MAX_TRIES`].
async fn assert_answered(to: SocketAddr, path: &str, key: &str) {
    let body = "an ordinary body";
    let mut last = None;
    for number in 0..MAX_TRIES {
        let head = head(path, &format!("ordinary-{key}-{number}"), key);
        let length = body.len();
        let text = format!("{head}Content-Length: {length}\r\nConnection: close\r\n\r\n{body}");
        last = exchange(to, &text).await;
        if last == Some(200) {
            return;
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
    panic!("no ordinary request with {key} was answered, the last with {last:?}");
}

/// The status of the answer to a request; `None` if the connection ends without one.
async fn exchange(to: SocketAddr, text: &str) -> Option<u16> {
    let mut stream = TcpStream::connect(to).await.ok()?;
    stream.write_all(text.as_bytes()).await.ok()?;
    let answer = tokio::time::timeout(Duration::from_secs(10), read_answer(&mut stream)).await;
    Some(answer.ok()??.status)
}
