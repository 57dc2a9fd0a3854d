//! One direction of one connection: reads into the queue while there is room, writes what is due.

use super::core::{Core, Flow, Way};
use super::flow_queue::{Departure, End, MAX_CHUNK};
use shaletide_types::Time;
use socket2::SockRef;
use std::io::{self, ErrorKind::WouldBlock};
use std::net::Shutdown;
use tokio::net::TcpStream;
use tokio::time::{sleep_until, Instant};

/// The connection is to be reset at both ends.
#[derive(Debug, PartialEq, Eq)]
pub(super) struct Reset {
    /// The direction over which the reset has still to be propagated: while it is cut, the sender does not see that the
    /// receiver is gone.
    pub news_over: Option<Way>,
}

const RESET: Reset = Reset { news_over: None };

enum Flushed {
    /// The stream's end was written: this direction is finished.
    Ended,
    /// The receiver's buffer is full.
    Blocked,
    /// Nothing is due before then.
    Waits(Option<Time>),
}

/// Runs a direction of a connection to its end. Dropped midway it leaves the sockets as they are.
pub(super) async fn pump(
    mut flow: Flow<'_>, from: &TcpStream, to: &TcpStream, resets: u64,
) -> Result<(), Reset> {
    let core = flow.core;
    let mut changes = core.changes();
    loop {
        let (blocked, due) = match flush(&mut flow, to, resets)? {
            Flushed::Ended => return Ok(()),
            Flushed::Blocked => (true, None),
            Flushed::Waits(due) => (false, due),
        };
        tokio::select! {
            _ = changes.changed() => {}
            _ = from.readable(), if flow.queue.has_room() => read(&mut flow, from),
            _ = to.writable(), if blocked => {}
            () = wake(core, due), if due.is_some() => {}
        }
    }
}

/// Sleeps at least until that time; the timer's granularity is a millisecond.
pub(super) async fn wake(core: &Core, due: Option<Time>) {
    if let Some(due) = due {
        sleep_until(Instant::from_std(core.clock.instant(due))).await;
    }
}

fn read(flow: &mut Flow<'_>, from: &TcpStream) {
    let mut chunk = [0; MAX_CHUNK];
    let result = from.try_read(&mut chunk);
    let mut lines = flow.core.lines();
    let line = &mut lines[flow.way as usize];
    let now = flow.core.now();
    match result {
        Ok(0) => flow.queue.end(now, line, End::Finished),
        Ok(count) => flow.queue.offer(now, line, chunk[..count].to_vec()),
        Err(e) if e.kind() == WouldBlock => {}
        Err(_) => flow.queue.end(now, line, End::Reset),
    }
}

/// Writes what is due. Both directions stay locked, so that no fault is set between decision and write.
fn flush(flow: &mut Flow<'_>, to: &TcpStream, resets: u64) -> Result<Flushed, Reset> {
    let mut lines = flow.core.lines();
    if lines.iter().map(|line| line.resets()).sum::<u64>() != resets {
        return Err(RESET);
    }
    let line = &mut lines[flow.way as usize];
    let now = flow.core.now();
    while let Some(departure) = flow.queue.take(now, line) {
        let mut bytes = match departure {
            Departure::Bytes(bytes) => bytes,
            Departure::End(End::Reset) => return Err(RESET),
            Departure::End(End::Finished) => {
                // Fails only if the receiver is gone, which then needs no end.
                let _ = SockRef::from(to).shutdown(Shutdown::Write);
                return Ok(Flushed::Ended);
            }
        };
        let wrote = write(to, &bytes).map_err(|_| Reset { news_over: Some(flow.way.reversed()) })?;
        line.wrote(wrote, wrote == bytes.len());
        if wrote < bytes.len() {
            flow.queue.put_back(line, bytes.split_off(wrote));
            return Ok(Flushed::Blocked);
        }
    }
    Ok(Flushed::Waits(flow.queue.due(line)))
}

fn write(to: &TcpStream, bytes: &[u8]) -> io::Result<usize> {
    match to.try_write(bytes) {
        Err(e) if e.kind() == WouldBlock => Ok(0),
        wrote => wrote,
    }
}

/// The flows of a connection's directions.
pub(super) fn flows<'a>(core: &'a Core, nth: u64) -> [Flow<'a>; 2] {
    let flow = format!("connection {nth}");
    [Way::Forth, Way::Back].map(|way| {
        let queue = super::flow_queue::FlowQueue::stream(core.rng(&flow, way));
        Flow { core, way, queue }
    })
}

/// Has both sockets reset their connection when they are dropped.
pub(super) fn reset_on_drop(stream: &TcpStream) -> io::Result<()> {
    SockRef::from(stream).set_linger(Some(std::time::Duration::ZERO))
}
