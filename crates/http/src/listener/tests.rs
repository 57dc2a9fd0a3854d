//! Tests of `listener` that need its private items.

use super::*;

#[tokio::test]
async fn listeners_are_asked_in_rotation() {
    let listeners = [(); 2].map(|()| listen(([127, 0, 0, 1], 0).into()).unwrap());
    let [many, few] = listeners.each_ref().map(|listener| listener.local_addr().unwrap());
    let waiting = [many, many, many, few].map(|at| std::net::TcpStream::connect(at).unwrap());
    let mut taken = Vec::new();
    for count in 0..2 {
        taken.push(accept_any(&listeners, count).await.unwrap().0.local_addr().unwrap());
    }
    assert_eq!(taken, [many, few]);
    drop(waiting);
}
