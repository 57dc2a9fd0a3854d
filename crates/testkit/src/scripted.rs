//! Endpoint lists in the form of discovery, and a discovery server whose answers are scripted by the test.

use crate::{Message, WAIT_LIMIT};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::mpsc;

/// Returns an entry of the list as JSON.
pub fn endpoint_json(name: &str, address: SocketAddr, status: &str) -> String {
    format!(
        r#"{{"name":"{name}","address":"{address}","zone":"east","type":"big","group":1,"status":"{status}","weight":1.0,"since_ms":0}}"#
    )
}

/// Returns an answer of discovery as JSON: a snapshot of the list or a delta.
pub fn endpoint_list_json(index: u64, snapshot: bool, entries: &[String]) -> String {
    format!(r#"{{"index":{index},"snapshot":{snapshot},"endpoints":[{}]}}"#, entries.join(","))
}

/// The request line of a call, and the sender of the answer with status and body.
type Call = (String, mpsc::Sender<(u16, String)>);

/// A discovery server that hands each call to the test, which answers with a status and a body.
#[derive(Debug)]
pub struct DiscoveryServer {
    /// The address of its listener.
    pub address: SocketAddr,
    calls: mpsc::Receiver<Call>,
}

impl DiscoveryServer {
    /// Starts a server that leaves each answer to the test.
    pub fn start() -> DiscoveryServer {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (call_sender, calls) = mpsc::channel();
        std::thread::spawn(move || {
            for mut tcp in listener.incoming().flatten() {
                let call_sender: mpsc::Sender<_> = call_sender.clone();
                std::thread::spawn(move || {
                    let mut reader = BufReader::new(tcp.try_clone().unwrap());
                    while let Some(message) = Message::read(&mut reader) {
                        let (answer, wait) = mpsc::channel::<(u16, String)>();
                        if call_sender.send((message.first, answer)).is_err() {
                            return;
                        }
                        let Ok((status, body)) = wait.recv() else { return };
                        let length = body.len();
                        let head = format!("HTTP/1.1 {status} X\r\nContent-Length: {length}\r\n\r\n");
                        if tcp.write_all((head + &body).as_bytes()).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        DiscoveryServer { address, calls }
    }

    /// Waits for the next call and returns it with the sender of its answer.
    pub fn next_call(&self) -> Call {
        self.calls.recv_timeout(WAIT_LIMIT).expect("a call to discovery")
    }
}
