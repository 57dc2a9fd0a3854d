//! Tests of `eviction` that need its private items.

use crate::testing::{client, rest, without_boxes, PAY};
use shaletide_balancer::Time;
use std::io::Write;

/// Its request comes after it was chosen to make room and before it was told: it is answered, however long that
/// takes, and the connection ends then.
#[tokio::test]
async fn a_request_that_crosses_its_clients_eviction_is_answered() {
    let run = async {
        let (server, parts) = (without_boxes(2), [0, 30]);
        let mut clients = Vec::new();
        for part in parts {
            let mut client = client(&server).await;
            client.write_all(&PAY.as_bytes()[..part]).unwrap();
            clients.push(client);
        }
        for _ in 0..100 {
            tokio::task::yield_now().await; // so much of them is read
        }
        server.clients.borrow().values().for_each(|c| c.since.set(Time(0))); // they are no new ones
        assert!(server.close_longest_idle() && server.close_longest_idle(), "nothing of them is unread");
        for (client, part) in clients.iter_mut().zip(parts) {
            let id = format!("Id: {part}");
            client.write_all(&PAY.replace("Id: 1", &id[..5]).as_bytes()[part..]).unwrap();
        }
        for client in clients {
            let answer = rest(client).await;
            assert!(answer.starts_with("HTTP/1.1 50"), "{answer:?}");
            assert!(answer.contains("connection: close"), "{answer:?}");
        }
    };
    tokio::task::LocalSet::new().run_until(run).await;
}
