//! Replicas whose answers have a status that no final answer has.

use super::http::{Answer, call};
use super::replica::Behaviour;
use super::{fleet_with, get};

const ROUTES: [&str; 5] = ["safe", "once", "public", "stream", "resumable"];
/// Status codes of no final answer, and texts in place of one. Those from 100 to 199 announce another
/// answer.
const INVALID: [&str; 17] = [
    "000", "001", "099", "100", "101", "102", "103", "199", "600", "700", "999", "1000", "20",
    "2000", "-200", "2xx", "0200",
];
/// The smallest and largest status of each class of final answers.
const VALID: [u16; 8] = [200, 299, 300, 399, 400, 499, 500, 599];

async fn answer_with_status(front: std::net::SocketAddr, route: &str, status: &str) -> Answer {
    call(front, &get(&format!("/{route}/status/{status}"), &format!("{route}.{status}"))).await
}

#[tokio::test]
async fn an_answer_whose_status_is_that_of_no_final_answer_is_never_passed_on() {
    let mut wrong = Vec::new();
    let (fleet, _replicas) = fleet_with(&[Behaviour::Status]).await;
    for route in ROUTES {
        for status in INVALID {
            let answer = answer_with_status(fleet.front, route, status).await;
            // The request may have run.
            if !matches!(answer.status, 502 | 504) || !answer.complete {
                wrong.push(format!("{status} on {route}: {} {:?}", answer.status, answer.body));
            }
        }
    }
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
}

#[tokio::test]
async fn an_answer_with_the_status_of_a_final_answer_is_passed_on_unchanged() {
    let (fleet, _replicas) = fleet_with(&[Behaviour::Status]).await;
    for status in VALID {
        for route in ROUTES {
            let answer = answer_with_status(fleet.front, route, &status.to_string()).await;
            assert_eq!(answer.status, status, "on {route}");
            assert_eq!(answer.header("bramblecrank-replica-seal"), Some("seal-i-0"));
        }
    }
}
