//! Tests of `pacer` that need its private items.

use super::*;
use std::time::Duration;

#[test]
fn sleepers_are_woken_in_order_and_not_at_times_that_were_cleared() {
    let sleepers: Vec<_> = (0..3).map(|_| Arc::new(Notify::new())).collect();
    let pacer = Pacer::start(sleepers.clone()).expect("a thread");
    let start = Instant::now();
    let after = |ms| Some(start + Duration::from_millis(ms));
    pacer.set(0, after(60));
    pacer.set(1, after(20));
    pacer.set(2, after(1));
    pacer.set(2, None);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build().expect("a runtime");
    let woken = runtime.block_on(async {
        let mut woken = Vec::new();
        for _ in 0..2 {
            tokio::select! {
                () = sleepers[0].notified() => woken.push(0),
                () = sleepers[1].notified() => woken.push(1),
                () = sleepers[2].notified() => woken.push(2),
            }
            woken.push(start.elapsed().as_millis() as usize / 20);
        }
        woken
    });
    assert!(woken[0] == 1 && woken[2] == 0 && woken[1] >= 1 && woken[3] >= 3, "{woken:?}");
}
