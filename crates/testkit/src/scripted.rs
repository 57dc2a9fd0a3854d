//! Lists in discovery's form, and a discovery of which each answer is the test's.

use crate::{Message, WAIT_LIMIT};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::mpsc;

/// An entry of the list.
pub fn endpoint_json(name: &str, address: SocketAddr, status: &str) -> String {
    format!(
        r#"{{"name":"{name}","address":"{address}","zone":"east","type":"big","group":1,"status":"{status}","weight":1.0,"since_ms":0}}"#
    )
}

/// An answer of discovery's: the whole list or what changed.
pub fn endpoint_list_json(index: u64, snapshot: bool, entries: &[String]) -> String {
    format!(r#"{{"index":{index},"snapshot":{snapshot},"endpoints":[{}]}}"#, entries.join(","))
}

/// What one call asked for, and where its answer goes.
type Call = (String, mpsc::Sender<(u16, String)>);

/// Discovery: hands each call's target to the test, which answers it with a status and a body.
#[derive(Debug)]
pub struct DiscoveryServer {
    /// Where it listens.
    pub address: SocketAddr,
    calls: mpsc::Receiver<Call>,
}

impl DiscoveryServer {
    /// One that has no answer of its own.
    pub fn start() -> DiscoveryServer {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (tell, calls) = mpsc::channel();
        std::thread::spawn(move || {
            for mut tcp in listener.incoming().flatten() {
                let tell: mpsc::Sender<_> = tell.clone();
                std::thread::spawn(move || {
                    let mut reader = BufReader::new(tcp.try_clone().unwrap());
                    while let Some(message) = Message::read(&mut reader) {
                        let (answer, wait) = mpsc::channel::<(u16, String)>();
                        if tell.send((message.first, answer)).is_err() {
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

    /// The next call, and where its answer goes.
    pub fn next_call(&self) -> Call {
        self.calls.recv_timeout(WAIT_LIMIT).expect("a call to discovery")
    }
}
