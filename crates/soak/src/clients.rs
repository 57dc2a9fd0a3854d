//! Clients in addition to the ordinary load: some disconnect before their answer, some misbehave.

use shaletide_testkit::{Clock, SeededRng};
use shaletide_types::Time;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinSet;

/// The timeout of a connect.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum time from the request to the disconnect, ms.
const LONGEST_CONNECTION_MS: f64 = 80.0;
/// Time between the shutdown of the sending side and the close.
const HALF_CLOSED_FOR: Duration = Duration::from_millis(500);
/// Number of idle connections that misbehaving clients hold at a proxy.
const IDLE_CONNECTIONS: usize = 60;
/// Time for which idle connections are held.
const IDLE_FOR: Duration = Duration::from_secs(4);

/// A client that disconnected before its answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClientDisconnect {
    /// The id of its request.
    pub id: String,
    /// When it closed its connection, or its sending side.
    pub closed_at: Time,
}

/// Returns the id of a request: the first half is the client run, the second half the number of the request.
pub fn request_id(run: u32, number: u32) -> String {
    format!("{run:08x}{number:08x}")
}

/// Returns a request whose class alternates with its number.
fn request(id: &str, number: u32) -> String {
    let head = |method: &str, class: &str, more: &str, body: &str| {
        format!(
            "{method} /{class}/{number:x} HTTP/1.1\r\nHost: soak\r\nX-Correlation-Id: {id}\r\n\
             X-Time-Left: 1.0\r\n{more}\r\n{body}"
        )
    };
    match number % 3 {
        0 => head("GET", "read", "", ""),
        1 => head("POST", "pay", "Content-Length: 4\r\n", "cash"),
        _ => head("POST", "vote", &format!("Idempotency-Key: k-{id}\r\nContent-Length: 3\r\n"), "yes"),
    }
}

async fn connect(to: SocketAddr) -> io::Result<TcpStream> {
    tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(to)).await?
}

/// Starts clients that disconnect, with a mean pause of `pause_ms` between them, until `stop` is set. Returns their
/// disconnects.
pub async fn run_disconnecting_clients(
    to: SocketAddr, clock: Clock, run: u32, pause_ms: f64, mut stop: watch::Receiver<bool>,
) -> Vec<ClientDisconnect> {
    let mut rng = SeededRng::new(u64::from(run));
    let mut clients = JoinSet::new();
    let mut number = 0;
    while !*stop.borrow() {
        let pause = Duration::from_secs_f64(pause_ms / 1e3 * 2.0 * rng.uniform());
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            _ = stop.changed() => break,
        }
        let stay = Duration::from_secs_f64(rng.uniform() * LONGEST_CONNECTION_MS / 1e3);
        clients.spawn(disconnect_once(to, clock, request_id(run, number), number, stay));
        number += 1;
    }
    clients.join_all().await.into_iter().flatten().collect()
}

/// Sends a request, waits, and disconnects: alternately by a close, a reset, or a shutdown of the sending side.
async fn disconnect_once(
    to: SocketAddr, clock: Clock, id: String, number: u32, stay: Duration,
) -> Option<ClientDisconnect> {
    let mut tcp = connect(to).await.ok()?;
    tcp.write_all(request(&id, number).as_bytes()).await.ok()?;
    tokio::time::sleep(stay).await;
    match number / 3 % 3 {
        0 => drop(tcp),
        1 => {
            let _ = socket2::SockRef::from(&tcp).set_linger(Some(Duration::ZERO)); // on an error the drop still closes
            drop(tcp);
        }
        _ => {
            let _ = tcp.shutdown().await; // the connection may already be closed
            let closed_at = clock.now();
            tokio::time::sleep(HALF_CLOSED_FOR).await;
            return Some(ClientDisconnect { id, closed_at });
        }
    }
    Some(ClientDisconnect { id, closed_at: clock.now() })
}

/// Runs misbehaving clients concurrently: an incomplete head, an incomplete body, bytes that are not HTTP, several
/// requests in one write, and idle connections.
pub async fn run_misbehaving_clients(to: SocketAddr, run: u32) {
    let several: String = (0..4).map(|n| request(&request_id(run, n), n)).collect();
    let half_body = request(&request_id(run, 4), 1).replace("Content-Length: 4", "Content-Length: 400");
    let texts = [
        "GET /read/1 HTTP/1.1\r\nHost: so".to_string(),
        half_body,
        "\u{16}\u{3}\u{1} no request\r\n\r\n".to_string(),
        several,
    ];
    let mut clients = JoinSet::new();
    for text in texts.into_iter().chain((0..IDLE_CONNECTIONS).map(|_| String::new())) {
        clients.spawn(async move {
            let mut tcp = connect(to).await?;
            tcp.write_all(text.as_bytes()).await?;
            tokio::time::sleep(IDLE_FOR).await;
            io::Result::Ok(())
        });
    }
    while clients.join_next().await.is_some() {}
}

/// Opens idle connections 2 ms apart and holds them. Connections that the proxy closes are not reopened.
pub async fn hold_idle_connections(to: SocketAddr, connections: usize) {
    let mut open = Vec::new();
    for _ in 0..connections {
        open.extend(connect(to).await.ok());
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    tokio::time::sleep(IDLE_FOR).await;
}
