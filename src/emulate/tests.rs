use super::slot::Slots;

#[tokio::test]
async fn slots_are_assigned_by_priority() {
    let slots = Slots::new(1);
    let held = slots.acquire(0).await.unwrap();
    let (late, early) = (slots.clone(), slots.clone());
    let low = tokio::spawn(async move { late.acquire(5).await });
    tokio::task::yield_now().await;
    let high = tokio::spawn(async move { early.acquire(1).await });
    tokio::task::yield_now().await;
    drop(held);
    let first = high.await.unwrap();
    assert!(first.is_some() && !low.is_finished());
    drop(first);
    assert!(low.await.unwrap().is_some());
}

#[tokio::test]
async fn a_cancelled_waiter_leaks_no_slot() {
    let slots = Slots::new(1);
    let held = slots.acquire(0).await.unwrap();
    let other = slots.clone();
    let waiter = tokio::spawn(async move { other.acquire(0).await });
    tokio::task::yield_now().await;
    waiter.abort();
    let _ = waiter.await;
    drop(held);
    assert!(slots.acquire(0).await.is_some());
    assert_eq!(slots.load().running, 0);
}
