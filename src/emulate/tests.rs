use super::slot::Slots;

#[tokio::test]
async fn slots_are_handed_out_by_priority() {
    let slots = Slots::new(1);
    let held = slots.take(0).await.unwrap();
    let (late, early) = (slots.clone(), slots.clone());
    let low = tokio::spawn(async move { late.take(5).await });
    tokio::task::yield_now().await;
    let high = tokio::spawn(async move { early.take(1).await });
    tokio::task::yield_now().await;
    drop(held);
    let first = high.await.unwrap();
    assert!(first.is_some() && !low.is_finished());
    drop(first);
    assert!(low.await.unwrap().is_some());
}

#[tokio::test]
async fn a_waiter_that_leaves_costs_no_slot() {
    let slots = Slots::new(1);
    let held = slots.take(0).await.unwrap();
    let other = slots.clone();
    let waiter = tokio::spawn(async move { other.take(0).await });
    tokio::task::yield_now().await;
    waiter.abort();
    let _ = waiter.await;
    drop(held);
    assert!(slots.take(0).await.is_some());
    assert_eq!(slots.load().running, 0);
}
