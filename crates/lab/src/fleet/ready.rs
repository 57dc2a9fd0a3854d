//! Polls a process until it is ready.

use super::process::ProcessMessage;
use super::ProcessReport;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::Sender;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Interval between polls.
const EVERY: Duration = Duration::from_millis(10);
/// Timeout of one poll.
const WAIT: Duration = Duration::from_millis(500);
/// After this time polling ends.
const LONGEST: Duration = Duration::from_secs(600);

/// Whether the process answers that it is ready now; blocks for a second at most.
pub fn is_ready(address: SocketAddr) -> bool {
    let ask = || -> std::io::Result<bool> {
        let mut tcp = TcpStream::connect_timeout(&address, WAIT)?;
        tcp.set_read_timeout(Some(WAIT))?;
        tcp.write_all(b"GET /-/ready HTTP/1.1\r\nHost: lab\r\nConnection: close\r\n\r\n")?;
        let mut head = [0; 12];
        tcp.read_exact(&mut head)?;
        Ok(head == *b"HTTP/1.1 200")
    };
    ask().unwrap_or(false)
}

/// Reports once that the process is ready, unless it has ended by then.
pub fn watch(
    address: SocketAddr, proxy: usize, life: u32, lives: Arc<AtomicU32>, sender: Sender<ProcessMessage>,
) {
    let work = move || {
        let begun = Instant::now();
        while lives.load(Ordering::Relaxed) == life && begun.elapsed() < LONGEST {
            if is_ready(address) {
                let _ = sender.send(ProcessMessage {
                    proxy,
                    life,
                    at: Instant::now(),
                    report: ProcessReport::Ready,
                });
                return;
            }
            std::thread::sleep(EVERY);
        }
    };
    let _ = std::thread::Builder::new().name("ready".into()).spawn(work);
}
