//! A backend that ends its connection after each response, in order or by a reset.

use super::*;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};
use std::sync::Arc;
use std::time::Duration;

/// The pause between the pieces of a response, in which the proxy reads each piece by itself.
const PIECE_PAUSE: Duration = Duration::from_millis(5);

/// The time before a reset, in which the proxy receives the bytes: a reset that overtook them would not cut the response off.
const RESET_DELAY: Duration = Duration::from_millis(20);

/// How a backend ends the connection after a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// By a close.
    InOrder,
    /// By a reset.
    Reset,
}

/// A backend that answers one request on each connection with these pieces, and then ends the connection.
pub struct EndingBackend {
    /// The address of its listener.
    pub address: SocketAddr,
    requests: Arc<AtomicUsize>,
}

impl EndingBackend {
    /// Starts the backend.
    pub fn start(pieces: &[impl AsRef<[u8]>], end: End) -> EndingBackend {
        let pieces: Vec<Vec<u8>> = pieces.iter().map(|piece| piece.as_ref().to_vec()).collect();
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let requests = Arc::new(AtomicUsize::new(0));
        let counted = requests.clone();
        std::thread::spawn(move || {
            for mut tcp in listener.incoming().flatten() {
                let mut reader = BufReader::new(tcp.try_clone().unwrap());
                if Message::read(&mut reader).is_none() {
                    continue;
                }
                counted.fetch_add(1, SeqCst);
                for (number, piece) in pieces.iter().enumerate() {
                    if number > 0 {
                        std::thread::sleep(PIECE_PAUSE);
                    }
                    let _ = tcp.write_all(piece);
                }
                if end == End::Reset {
                    std::thread::sleep(RESET_DELAY);
                    socket2::SockRef::from(&tcp).set_linger(Some(Duration::ZERO)).unwrap();
                }
            }
        });
        EndingBackend { address, requests }
    }

    /// Starts a proxy that knows only this backend.
    pub fn proxy(&self) -> Proxy {
        Proxy::start(&[endpoint_json("b0", self.address, "SERVING")])
    }

    /// Returns the number of requests that it has received.
    pub fn request_count(&self) -> usize {
        self.requests.load(SeqCst)
    }
}
