//! A link between clients and a proxy that delays the end of idle connections: a client sees that the proxy has closed its
//! connection only after the client's next bytes have reached the proxy's kernel, which no longer has the connection. So each
//! request on a connection that the proxy has closed crosses that close.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Maximum number of bytes that are forwarded at once.
const CHUNK_BYTES: usize = 64 << 10;

/// Maximum wait for the reset of a request that the proxy's kernel refuses.
const RESET_WAIT: Duration = Duration::from_secs(3);
/// Pause between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_micros(500);

/// A request that reached the proxy's kernel after the proxy had closed its connection.
#[derive(Clone, Copy, Debug)]
pub struct Crossing {
    /// When the proxy had closed the connection.
    pub closed_at: Instant,
    /// When the request was forwarded.
    pub sent_at: Instant,
    /// Whether the proxy's kernel has answered the request with a reset, so that no process has read it.
    pub is_reset: bool,
}

/// The link. It forwards bytes until the test's process ends.
#[derive(Debug)]
pub struct LateEnds {
    /// The address to which clients connect.
    pub address: SocketAddr,
    events: Arc<Mutex<Events>>,
}

/// Events on all connections.
#[derive(Debug, Default)]
struct Events {
    /// Number of connections that the proxy has closed.
    closes: usize,
    crossings: Vec<Crossing>,
}

/// Returns whether the proxy's kernel answers bytes written to a connection with a reset. If the process has shut down its
/// sending side but not closed the connection yet, the reset comes with the close.
fn is_reset_soon(server: &TcpStream) -> bool {
    wait_until(RESET_WAIT, || matches!(server.take_error(), Ok(Some(_))))
}

/// Waits until `is_so` returns true, for at most `longest`. Returns whether it did.
fn wait_until(longest: Duration, is_so: impl Fn() -> bool) -> bool {
    let until = Instant::now() + longest;
    while !is_so() {
        if Instant::now() >= until {
            return false;
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    true
}

/// Records a crossing, and returns its index.
fn record_crossing(events: &Mutex<Events>, crossing: Crossing) -> usize {
    let crossings = &mut locked(events).crossings;
    crossings.push(crossing);
    crossings.len() - 1
}

/// State of a connection that both directions share.
#[derive(Debug, Default)]
struct Connection {
    /// Whether the client has sent bytes since the proxy's last ones.
    has_open_request: bool,
    /// When the proxy closed it.
    closed_at: Option<Instant>,
}

fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl LateEnds {
    /// Starts a link to the proxy at this address.
    pub fn start(proxy: SocketAddr) -> LateEnds {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let events = Arc::new(Mutex::new(Events::default()));
        let shared = events.clone();
        std::thread::spawn(move || {
            for client in listener.incoming().flatten() {
                // If the proxy accepts no connections any more, the client's connection is dropped and so closed.
                let Ok(server) = TcpStream::connect(proxy) else { continue };
                forward(client, server, shared.clone());
            }
        });
        LateEnds { address, events }
    }

    /// Waits until the proxy has closed a connection, for at most `longest`.
    pub fn wait_for_close(&self, longest: Duration) {
        wait_until(longest, || locked(&self.events).closes > 0);
    }

    /// Waits until a request has crossed a close, for at most `longest`.
    pub fn wait_for_crossing(&self, longest: Duration) {
        wait_until(longest, || !locked(&self.events).crossings.is_empty());
    }

    /// Waits for the resets of all crossings, and returns the crossings. Called after the proxy's process has ended.
    pub fn crossings(&self) -> Vec<Crossing> {
        wait_until(RESET_WAIT, || locked(&self.events).crossings.iter().all(|crossing| crossing.is_reset));
        locked(&self.events).crossings.clone()
    }
}

/// Forwards both directions, each on its own thread.
fn forward(client: TcpStream, server: TcpStream, events: Arc<Mutex<Events>>) {
    for tcp in [&client, &server] {
        tcp.set_nodelay(true).unwrap();
    }
    let connection = Arc::new(Mutex::new(Connection::default()));
    std::thread::spawn({
        let (server, client) = (server.try_clone().unwrap(), client.try_clone().unwrap());
        let (connection, events) = (connection.clone(), events.clone());
        move || forward_answers(server, client, &connection, &events)
    });
    std::thread::spawn(move || forward_requests(client, server, &connection, &events));
}

/// Forwards the proxy's bytes. Forwards its close at once only if a request waits for its answer.
fn forward_answers(
    mut server: TcpStream, mut client: TcpStream, connection: &Mutex<Connection>, events: &Mutex<Events>,
) {
    let mut chunk = vec![0; CHUNK_BYTES];
    while let Ok(length) = server.read(&mut chunk) {
        if length == 0 {
            break;
        }
        locked(connection).has_open_request = false;
        if client.write_all(&chunk[..length]).is_err() {
            break;
        }
    }
    locked(events).closes += 1;
    let mut connection = locked(connection);
    connection.closed_at = Some(Instant::now());
    if connection.has_open_request {
        let _ = client.shutdown(Shutdown::Both); // the client may have closed it already
    }
}

/// Forwards the client's bytes. Bytes after the proxy's close are forwarded too, and the close after them.
fn forward_requests(
    mut client: TcpStream, mut server: TcpStream, connection: &Mutex<Connection>, events: &Mutex<Events>,
) {
    let mut chunk = vec![0; CHUNK_BYTES];
    while let Ok(length) = client.read(&mut chunk) {
        if length == 0 {
            break;
        }
        let closed_at = {
            let mut connection = locked(connection);
            connection.has_open_request = true;
            connection.closed_at
        };
        let sent_at = Instant::now();
        let is_written = server.write_all(&chunk[..length]).is_ok();
        if let Some(closed_at) = closed_at {
            // The client sees the close now. The reset may come later, with the close by a stopped process.
            let _ = client.shutdown(Shutdown::Both); // as above
            let crossing = Crossing { closed_at, sent_at, is_reset: !is_written };
            let number = record_crossing(events, crossing);
            let is_reset = !is_written || is_reset_soon(&server);
            locked(events).crossings[number].is_reset = is_reset;
            return;
        }
    }
    let _ = server.shutdown(Shutdown::Write); // as above
}
