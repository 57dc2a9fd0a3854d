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

/// The maximum wait of a confirmation, in ms: a short long poll that the proxy makes beside its subscription at an agent.
const MAX_CONFIRMATION_WAIT_MS: u64 = 40;

/// Whether a call is a confirmation.
fn is_confirmation(request_line: &str) -> bool {
    let wait = request_line.split("&wait_ms=").nth(1).and_then(|rest| rest.split(' ').next()?.parse().ok());
    wait.is_some_and(|wait: u64| (1..=MAX_CONFIRMATION_WAIT_MS).contains(&wait))
}

/// A discovery server that hands each call to the test, which answers with a status and a body. The calls of the subscription
/// and the confirmations that are made beside them are handed over separately.
#[derive(Debug)]
pub struct DiscoveryServer {
    /// The address of its listener.
    pub address: SocketAddr,
    calls: mpsc::Receiver<Call>,
    confirmations: mpsc::Receiver<Call>,
}

impl DiscoveryServer {
    /// Starts a server that leaves each answer to the test.
    pub fn start() -> DiscoveryServer {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (call_sender, calls) = mpsc::channel();
        let (confirmation_sender, confirmations) = mpsc::channel();
        std::thread::spawn(move || {
            for mut tcp in listener.incoming().flatten() {
                let senders: [mpsc::Sender<Call>; 2] = [call_sender.clone(), confirmation_sender.clone()];
                std::thread::spawn(move || {
                    let mut reader = BufReader::new(tcp.try_clone().unwrap());
                    while let Some(message) = Message::read(&mut reader) {
                        let (answer, wait) = mpsc::channel::<(u16, String)>();
                        let sender = &senders[usize::from(is_confirmation(&message.first))];
                        if sender.send((message.first, answer)).is_err() {
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
        DiscoveryServer { address, calls, confirmations }
    }

    /// Waits for the next confirmation and returns it with the sender of its answer. Confirmations that are never taken stay
    /// unanswered.
    pub fn next_confirmation(&self) -> Call {
        self.confirmations.recv_timeout(WAIT_LIMIT).expect("a confirmation call to discovery")
    }

    /// Waits for the next call of the subscription and returns it with the sender of its answer.
    pub fn next_call(&self) -> Call {
        self.calls.recv_timeout(WAIT_LIMIT).expect("a call to discovery")
    }
}
