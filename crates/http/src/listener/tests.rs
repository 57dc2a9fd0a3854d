//! Tests of `listener` that need its private items.

use super::*;

#[tokio::test]
async fn listeners_are_polled_in_rotation() {
    let listeners = [(); 2].map(|()| listen(([127, 0, 0, 1], 0).into()).unwrap());
    let [busy, quiet] = listeners.each_ref().map(|listener| listener.local_addr().unwrap());
    let waiting = [busy, busy, busy, quiet].map(|at| std::net::TcpStream::connect(at).unwrap());
    let mut accepted = Vec::new();
    for count in 0..2 {
        accepted.push(accept_any(&listeners, count).await.unwrap().0.local_addr().unwrap());
    }
    assert_eq!(accepted, [busy, quiet]);
    drop(waiting);
}
