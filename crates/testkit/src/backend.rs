//! A scripted backend on blocking sockets: a closure decides what it does with each request.

use crate::{Message, WAIT_LIMIT};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{mpsc, Arc, Condvar, Mutex};
use std::time::Duration;

/// What a backend does with a request.
#[derive(Clone, Debug)]
pub enum Reply {
    /// Answers with a status, a header line (empty for none) and a body.
    Answer(u16, &'static str, String),
    /// Answers with a status and a body, then closes the connection without having announced it.
    AnswerAndClose(u16, String),
    /// Writes these bytes, each piece in a segment of its own, and keeps the connection open.
    Pieces(Vec<String>),
    /// Writes these bytes with one write each, as a common server writes head and body: Nagle's algorithm delays the
    /// second until the first is acknowledged.
    Writes(Vec<String>),
    /// Closes the connection after the complete request.
    Reset,
    /// Sends nothing until the proxy gives up.
    Silence,
    /// Sends nothing until the gate opens, then 200.
    Gate(Arc<Gate>),
}

/// Returns a reply with status 200 and this body.
pub fn ok_reply(body: &str) -> Reply {
    Reply::Answer(200, "", body.into())
}

/// A barrier that is opened once, for all threads that wait at it.
#[derive(Debug, Default)]
pub struct Gate(Mutex<bool>, Condvar);

impl Gate {
    /// Releases all waiting threads, and all threads that wait later.
    pub fn open(&self) {
        *self.0.lock().unwrap() = true;
        self.1.notify_all();
    }
    /// Waits until the gate is open, for [`WAIT_LIMIT`] at most.
    pub fn wait(&self) {
        let _ = self.1.wait_timeout_while(self.0.lock().unwrap(), WAIT_LIMIT, |open| !*open).unwrap();
    }
}

/// An event that a backend reports to its test.
#[derive(Debug)]
pub enum BackendEvent {
    /// A connection was accepted.
    Connected,
    /// A complete request was received.
    Request(Message),
    /// A connection was closed by either side.
    Closed,
}

/// A backend with a thread for each connection.
#[derive(Debug)]
pub struct BackendServer {
    /// The address of its listener.
    pub address: SocketAddr,
    /// Its events, in order.
    pub events: mpsc::Receiver<BackendEvent>,
    /// Connections accepted so far.
    pub connections: Arc<AtomicU32>,
    /// Complete requests so far.
    pub requests: Arc<AtomicU32>,
    /// Requests whose complete answer is written, with all bytes that follow it.
    pub answered: Arc<AtomicU32>,
}

impl BackendServer {
    /// Starts a backend. The closure returns the reply to the request of each number, from 0 on.
    pub fn start(reply: impl Fn(u32) -> Reply + Send + Sync + 'static) -> BackendServer {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (event_sender, events) = mpsc::channel();
        let (connections, requests) = (Arc::new(AtomicU32::new(0)), Arc::new(AtomicU32::new(0)));
        let answered = Arc::new(AtomicU32::new(0));
        let answered_count = answered.clone();
        let (accepted, count, reply) = (connections.clone(), requests.clone(), Arc::new(reply));
        std::thread::spawn(move || {
            for tcp in listener.incoming().flatten() {
                accepted.fetch_add(1, Ordering::SeqCst);
                let _ = event_sender.send(BackendEvent::Connected);
                let (event_sender, count, reply) = (event_sender.clone(), count.clone(), reply.clone());
                let answered_count = answered_count.clone();
                std::thread::spawn(move || serve(tcp, &event_sender, [&count, &answered_count], &*reply));
            }
        });
        BackendServer { address, events, connections, requests, answered }
    }

    /// Waits for the next request and returns it.
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

    /// Returns the number of complete requests so far.
    pub fn request_count(&self) -> u32 {
        self.requests.load(Ordering::SeqCst)
    }
}

fn serve(
    tcp: TcpStream, events: &mpsc::Sender<BackendEvent>, [count, answered]: [&AtomicU32; 2],
    reply: &dyn Fn(u32) -> Reply,
) {
    let mut reader = BufReader::new(tcp.try_clone().unwrap());
    let mut out = tcp;
    while let Some(message) = Message::read(&mut reader) {
        let number = count.fetch_add(1, Ordering::SeqCst);
        let _ = events.send(BackendEvent::Request(message));
        let mut send = |status: u16, header: &str, body: &str| {
            let line = if header.is_empty() { String::new() } else { format!("{header}\r\n") };
            let length = body.len();
            let text = format!("HTTP/1.1 {status} X\r\n{line}Content-Length: {length}\r\n\r\n{body}");
            out.write_all(text.as_bytes()).is_ok()
        };
        let keep_open = match reply(number) {
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
        if !keep_open {
            break;
        }
    }
    let _ = events.send(BackendEvent::Closed);
}

/// A port without a listener: connections to it are refused while this value lives. A process that binds the port by its
/// number, as the program does, can listen there all the same.
#[derive(Debug)]
pub struct RefusingPort(socket2::Socket);

impl Default for RefusingPort {
    fn default() -> RefusingPort {
        RefusingPort::new()
    }
}

impl RefusingPort {
    /// Binds a port that the kernel picks.
    pub fn new() -> RefusingPort {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        socket.set_reuse_address(true).unwrap();
        let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
        socket.bind(&any.into()).unwrap();
        RefusingPort(socket)
    }
    /// Returns the address that refuses connections.
    pub fn address(&self) -> SocketAddr {
        self.0.local_addr().unwrap().as_socket().unwrap()
    }
}

/// A listener that neither establishes nor refuses connections: its backlog is full and nothing is accepted.
#[derive(Debug)]
pub struct FullBacklogListener {
    socket: socket2::Socket,
    _backlog: Vec<TcpStream>,
}

impl Default for FullBacklogListener {
    fn default() -> FullBacklogListener {
        FullBacklogListener::new()
    }
}

impl FullBacklogListener {
    /// Binds a port that the kernel picks and fills its backlog.
    pub fn new() -> FullBacklogListener {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
        socket.listen(0).unwrap();
        let address = socket.local_addr().unwrap().as_socket().unwrap();
        let mut backlog = Vec::new();
        while let Ok(tcp) = TcpStream::connect_timeout(&address, Duration::from_millis(300)) {
            backlog.push(tcp);
        }
        FullBacklogListener { socket, _backlog: backlog }
    }
    /// Returns the address of the listener.
    pub fn address(&self) -> SocketAddr {
        self.socket.local_addr().unwrap().as_socket().unwrap()
    }
}
