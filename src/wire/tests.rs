use super::*;
use crate::config::CustomerId;
use crate::error::Error;

fn want(seq: u64) -> ToDispatcher {
    ToDispatcher::GrantRequest(GrantRequest {
        seq,
        customer: CustomerId(3),
        input: 900,
        start_within_ms: 60_000,
        prefix: vec![7],
    })
}

#[tokio::test]
async fn a_frame_survives_the_round_trip() {
    let (mut a, b) = tokio::io::duplex(1 << 16);
    let sent = vec![want(1), want(2)];
    write_frame(&mut a, &sent).await.unwrap();
    let got: Vec<ToDispatcher> = FrameReader::new(b).next().await.unwrap();
    assert_eq!(got, sent);
}

#[tokio::test]
async fn an_oversized_frame_is_refused_before_it_is_read() {
    let (mut a, b) = tokio::io::duplex(1 << 16);
    write_frame(&mut a, &vec![0u8; 2_000]).await.unwrap();
    let got = FrameReader::with_limit(b, 1_000).next::<Vec<u8>>().await;
    assert!(matches!(got, Err(Error::FrameTooLarge { size: 2_002, limit: 1_000 })));
}

#[tokio::test]
async fn garbage_is_an_error_and_not_a_panic() {
    let (mut a, b) = tokio::io::duplex(1 << 16);
    write_frame(&mut a, &[255u8; 40][..]).await.unwrap();
    let got = FrameReader::new(b).next::<Vec<ToDispatcher>>().await;
    assert!(got.is_err());
}

#[tokio::test]
async fn batched_messages_arrive_in_order() {
    let (a, b) = tokio::io::duplex(1 << 16);
    let (sender, writer) = BatchWriter::new(None);
    for seq in 0..50 {
        sender.send(want(seq).into()).unwrap();
    }
    drop(sender);
    writer.run(a, || async {}).await.unwrap();
    let got: Vec<ToDispatcher> = FrameReader::new(b).next().await.unwrap();
    assert_eq!(got, (0..50).map(want).collect::<Vec<_>>());
}

#[tokio::test(start_paused = true)]
async fn a_patient_message_shares_the_frame_of_an_impatient_one() {
    let (a, b) = tokio::io::duplex(1 << 16);
    let (sender, writer) = BatchWriter::new(None);
    let max_delay = std::time::Duration::from_secs(3_600);
    tokio::spawn(writer.run(a, || async {}));
    sender.send(QueuedMessage { message: want(1), max_delay }).unwrap();
    tokio::task::yield_now().await;
    sender.send(want(2).into()).unwrap();
    let got: Vec<ToDispatcher> = FrameReader::new(b).next().await.unwrap();
    assert_eq!(got, [want(1), want(2)]);
}

#[test]
fn a_message_of_another_release_is_told_apart_and_not_misread() {
    let bytes = encode_versioned(&want(1)).unwrap();
    assert_eq!(decode_versioned::<ToDispatcher>(&bytes).unwrap(), want(1));
    // Before messages named a version they began with the number of their kind.
    let unversioned = postcard::to_stdvec(&want(1)).unwrap();
    let later = [&[PROTOCOL + 1][..], &unversioned].concat();
    for other in [unversioned, later] {
        let read = decode_versioned::<ToDispatcher>(&other);
        assert!(matches!(read, Err(Error::ProtocolMismatch { ours: PROTOCOL, .. })));
    }
    assert!(decode_versioned::<ToDispatcher>(&[]).is_err());
}

#[tokio::test]
async fn keep_alives_are_passed_over() {
    let (mut a, b) = tokio::io::duplex(1 << 16);
    write_keep_alive(&mut a).await.unwrap();
    write_keep_alive(&mut a).await.unwrap();
    write_frame(&mut a, &vec![want(1)]).await.unwrap();
    let got: Vec<ToDispatcher> = FrameReader::new(b).next().await.unwrap();
    assert_eq!(got, [want(1)]);
}

/// An hour without messages.
#[tokio::test(start_paused = true)]
async fn a_connection_lives_as_long_as_it_is_kept_alive() {
    let (a, b) = tokio::io::duplex(1 << 16);
    let (sender, writer) = BatchWriter::new(None);
    tokio::spawn(writer.with_keep_alives().run(a, || async {}));
    let mut reader = FrameReader::new(b).with_silence_timeout();
    tokio::time::sleep(std::time::Duration::from_secs(3_600)).await;
    sender.send(want(1).into()).unwrap();
    let got: Vec<ToDispatcher> = reader.next().await.unwrap();
    assert_eq!(got, [want(1)]);
}

#[tokio::test(start_paused = true)]
async fn a_connection_that_is_not_kept_alive_is_given_up() {
    let (_a, b) = tokio::io::duplex(1 << 16);
    let started = tokio::time::Instant::now();
    let silent = FrameReader::new(b).with_silence_timeout().next::<Vec<ToDispatcher>>().await;
    assert!(matches!(silent, Err(Error::SilenceTimeout)));
    assert_eq!(started.elapsed().as_secs_f64().round() as u64, SILENCE_TIMEOUT.as_secs());
}
