//! A scripted backend on blocking sockets: what it does with a request is a closure's word.

use crate::{Message, WAIT_LIMIT};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{mpsc, Arc, Condvar, Mutex};
use std::time::Duration;

/// What a backend does with a request.
#[derive(Clone, Debug)]
pub enum Reply {
    /// A status, a header line or none, a body.
    Answer(u16, &'static str, String),
    /// The same, and the connection is closed without a word of it.
    AnswerAndClose(u16, String),
    /// These bytes, each piece in a segment of its own, and the connection stays open.
    Pieces(Vec<String>),
    /// These bytes in a write each, as a stock server writes head and body: Nagle's algorithm holds the second
    /// back until the first is acknowledged.
    Writes(Vec<String>),
    /// The connection ends after the whole request.
    Reset,
    /// Nothing, until the proxy gives up.
    Silence,
    /// Nothing until the gate opens, then 200.
    Gate(Arc<Gate>),
}

/// 200 with this body.
pub fn ok_reply(body: &str) -> Reply {
    Reply::Answer(200, "", body.into())
}

/// Opened once, for all that wait.
#[derive(Debug, Default)]
pub struct Gate(Mutex<bool>, Condvar);

impl Gate {
    /// Lets all go on that wait, and those that come later.
    pub fn open(&self) {
        *self.0.lock().unwrap() = true;
        self.1.notify_all();
    }
    /// Waits until it is open, though no longer than [`WAIT_LIMIT`].
    pub fn wait(&self) {
        let _ = self.1.wait_timeout_while(self.0.lock().unwrap(), WAIT_LIMIT, |open| !*open).unwrap();
    }
}

/// What a backend tells its test of.
#[derive(Debug)]
pub enum BackendEvent {
    /// A connection was accepted.
    Connected,
    /// A request came whole.
    Request(Message),
    /// A connection ended, from either side.
    Closed,
}

/// A backend with a thread for each connection.
#[derive(Debug)]
pub struct BackendServer {
    /// Where it listens.
    pub address: SocketAddr,
    /// What happened at it, in order.
    pub events: mpsc::Receiver<BackendEvent>,
    /// Connections accepted so far.
    pub connections: Arc<AtomicU32>,
    /// Whole requests so far.
    pub requests: Arc<AtomicU32>,
    /// Requests of which the whole answer is written, with all that comes behind it.
    pub answered: Arc<AtomicU32>,
}

impl BackendServer {
    /// One that answers the request of each number, from 0 on, as the closure says.
    pub fn start(reply: impl Fn(u32) -> Reply + Send + Sync + 'static) -> BackendServer {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (tell, seen) = mpsc::channel();
        let (connections, requests) = (Arc::new(AtomicU32::new(0)), Arc::new(AtomicU32::new(0)));
        let answered = Arc::new(AtomicU32::new(0));
        let done = answered.clone();
        let (opened, count, reply) = (connections.clone(), requests.clone(), Arc::new(reply));
        std::thread::spawn(move || {
            for tcp in listener.incoming().flatten() {
                opened.fetch_add(1, Ordering::SeqCst);
                let _ = tell.send(BackendEvent::Connected);
                let (tell, count, reply) = (tell.clone(), count.clone(), reply.clone());
                let done = done.clone();
                std::thread::spawn(move || serve(tcp, &tell, [&count, &done], &*reply));
            }
        });
        BackendServer { address, events: seen, connections, requests, answered }
    }

    /// Waits for the next request.
    pub fn next_request(&self) -> Message {
        loop {
            if let BackendEvent::Request(message) =
                self.events.recv_timeout(WAIT_LIMIT).expect("a request at the backend")
            {
                return message;
            }
        }
    }

    /// Waits until a connection ends.
    pub fn wait_closed(&self) {
        while !matches!(
            self.events.recv_timeout(WAIT_LIMIT).expect("a closed connection"),
            BackendEvent::Closed
        ) {}
    }

    /// Whole requests so far.
    pub fn request_count(&self) -> u32 {
        self.requests.load(Ordering::SeqCst)
    }
}

fn serve(
    tcp: TcpStream, tell: &mpsc::Sender<BackendEvent>, [count, answered]: [&AtomicU32; 2],
    reply: &dyn Fn(u32) -> Reply,
) {
    let mut reader = BufReader::new(tcp.try_clone().unwrap());
    let mut out = tcp;
    while let Some(message) = Message::read(&mut reader) {
        let number = count.fetch_add(1, Ordering::SeqCst);
        let _ = tell.send(BackendEvent::Request(message));
        let mut send = |status: u16, header: &str, body: &str| {
            let line = if header.is_empty() { String::new() } else { format!("{header}\r\n") };
            let length = body.len();
            let text = format!("HTTP/1.1 {status} X\r\n{line}Content-Length: {length}\r\n\r\n{body}");
            out.write_all(text.as_bytes()).is_ok()
        };
        let go_on = match reply(number) {
            Reply::Answer(status, header, body) => send(status, header, &body),
            Reply::AnswerAndClose(status, body) => {
                send(status, "", &body);
                let _ = out.shutdown(std::net::Shutdown::Both);
                false
            }
            Reply::Pieces(pieces) => {
                out.set_nodelay(true).unwrap();
                pieces.iter().all(|piece| out.write_all(piece.as_bytes()).is_ok())
            }
            Reply::Writes(parts) => parts.iter().all(|part| out.write_all(part.as_bytes()).is_ok()),
            Reply::Reset => false,
            Reply::Silence => true,
            Reply::Gate(gate) => {
                gate.wait();
                send(200, "", "gated")
            }
        };
        answered.fetch_add(1, Ordering::SeqCst);
        if !go_on {
            break;
        }
    }
    let _ = tell.send(BackendEvent::Closed);
}

/// A port on which nobody listens: connections to it are refused for as long as it is held. Who asks for it by its
/// number, as the program does, may listen there all the same.
#[derive(Debug)]
pub struct RefusingPort(socket2::Socket);

impl Default for RefusingPort {
    fn default() -> RefusingPort {
        RefusingPort::new()
    }
}

impl RefusingPort {
    /// Takes a port that the kernel picks.
    pub fn new() -> RefusingPort {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        socket.set_reuse_address(true).unwrap();
        let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
        socket.bind(&any.into()).unwrap();
        RefusingPort(socket)
    }
    /// The address that refuses.
    pub fn address(&self) -> SocketAddr {
        self.0.local_addr().unwrap().as_socket().unwrap()
    }
}

/// A port at which connections neither come up nor are refused: its queue is full and nobody accepts.
#[derive(Debug)]
pub struct FullBacklogListener {
    socket: socket2::Socket,
    _queue: Vec<TcpStream>,
}

impl Default for FullBacklogListener {
    fn default() -> FullBacklogListener {
        FullBacklogListener::new()
    }
}

impl FullBacklogListener {
    /// Takes a port that the kernel picks, and fills its queue.
    pub fn new() -> FullBacklogListener {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
        socket.listen(0).unwrap();
        let at = socket.local_addr().unwrap().as_socket().unwrap();
        let mut queue = Vec::new();
        while let Ok(tcp) = TcpStream::connect_timeout(&at, Duration::from_millis(300)) {
            queue.push(tcp);
        }
        FullBacklogListener { socket, _queue: queue }
    }
    /// Where.
    pub fn address(&self) -> SocketAddr {
        self.socket.local_addr().unwrap().as_socket().unwrap()
    }
}
