//! What control hosts store of many large configurations.

use crate::fleet::{Fleet, configuration};

/// Default of `snapshot_every_bytes`.
const SNAPSHOT_EVERY_BYTES: u64 = 8 << 20;
const CONFIGURATIONS: u64 = 60;
const ROUTES: u64 = 1_888;

fn large_configuration(version: u64) -> String {
    let route = |number: u64| {
        format!(
            r#"{{"name":"more-{number}","host":"shop.example","pathPrefix":"/more-{number}/","kind":"idempotent","timeoutMs":2000,"sloMs":500,"priority":1,"service":"app","attempts":2,"sticky":false}},"#
        )
    };
    let more: String = (0..ROUTES).map(route).collect();
    configuration(version).replacen("\"routes\":[", &format!("\"routes\":[{more}"), 1)
}

#[tokio::test]
async fn the_log_of_large_configurations_does_not_fill_the_disk() {
    let mut fleet = Fleet::start().await;
    let mut sent = 0;
    let mut largest = 0;
    for version in 1..=CONFIGURATIONS {
        let text = large_configuration(version);
        fleet.configure(&text).await;
        sent += text.len() as u64;
        largest = largest.max(fleet.stored_bytes());
    }
    let last = large_configuration(CONFIGURATIONS);
    assert!(sent > 2 * SNAPSHOT_EVERY_BYTES, "{sent} bytes are too few to show anything");
    // Beside the log there are two snapshots, and a log that replaces it.
    let bound = SNAPSHOT_EVERY_BYTES + 8 * last.len() as u64;
    assert!(largest <= bound, "{largest} bytes stored, at most {bound} expected");
    fleet.kill_control();
    fleet.start_control();
    assert_eq!(fleet.read_configuration().await, last);
}

#[tokio::test]
async fn a_configuration_that_hosts_cannot_send_each_other_is_refused() {
    let fleet = Fleet::start().await;
    fleet.configure(&configuration(1)).await;
    let too_large = configuration(2) + &" ".repeat(16 << 20);
    assert_eq!(fleet.put_configuration(&too_large).await, 413);
    fleet.configure(&configuration(3)).await;
    assert_eq!(fleet.read_configuration().await, configuration(3));
}
