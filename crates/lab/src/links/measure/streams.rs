//! Faults of streams as the receiver sees them.

use super::{histogram, micros, percent, set, spread_ms, until, Row, HERE};
use crate::links::{Cut, Direction, Fault, Link, Links};
use hdrhistogram::Histogram;
use shaletide_testkit::{Distribution, WAIT_LIMIT};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::Instant;

struct Bench {
    link: Link,
    client: TcpStream,
    server: TcpStream,
}

impl Bench {
    fn new(links: &Links, name: &str) -> io::Result<Bench> {
        let listener = TcpListener::bind((HERE, 0))?;
        let link = links.tcp(name, ["a", "b"], HERE, listener.local_addr()?)?;
        let client = TcpStream::connect(link.address())?;
        let (server, _) = listener.accept()?;
        for stream in [&client, &server] {
            stream.set_nodelay(true)?;
            stream.set_read_timeout(Some(WAIT_LIMIT))?;
        }
        Ok(Bench { link, client, server })
    }

    /// Chunks one after the other, each sent when the one before came: their delays, and how many came changed.
    fn chunks(&mut self, count: usize, fault: Fault) -> io::Result<(Histogram<u64>, usize)> {
        set(&self.link, Direction::Forth, fault)?;
        let (mut delays, mut changed) = (histogram(), 0);
        for _ in 0..count {
            let sent = Instant::now();
            self.client.write_all(&[7; 100])?;
            let mut chunk = [0; 100];
            self.server.read_exact(&mut chunk)?;
            delays.saturating_record(micros(sent.elapsed()));
            changed += usize::from(chunk != [7; 100]);
        }
        set(&self.link, Direction::Forth, Fault::default())?;
        Ok((delays, changed))
    }
}

pub(super) fn faults(links: &Links) -> io::Result<Vec<Row>> {
    let mut bench = Bench::new(links, "measured-stream")?;
    let (delays, _) = bench.chunks(40, Fault::delay_ms(Distribution::Fixed(50.0)))?;
    let (_, changed) = bench.chunks(2_000, Fault { corrupt: 0.1, ..Fault::default() })?;
    let (stalls, _) = bench.chunks(100, Fault { loss: 0.1, ..Fault::default() })?;
    let stalled = stalls.count_between(190_000, u64::MAX) as usize;
    let seen = format!("{} of chunks; slowest {} ms", percent(stalled, 100), stalls.max() / 1000);
    Ok(vec![
        Row::new("TCP delay", "50 ms", spread_ms(&delays)),
        Row::new("TCP corruption", "10 %", percent(changed, 2_000)),
        Row::new("TCP loss, as a stall", "10 %, 200 ms or more", seen),
        rate(&mut bench)?,
        silent_cut(&mut bench)?,
        reset_cut(bench)?,
    ])
}

fn rate(bench: &mut Bench) -> io::Result<Row> {
    let fault = Fault { rate: Some(1_000_000), ..Fault::default() };
    set(&bench.link, Direction::Forth, fault)?;
    let began = Instant::now();
    let mut client = bench.client.try_clone()?;
    let writer = std::thread::spawn(move || client.write_all(&vec![1; 2_000_000]));
    bench.server.read_exact(&mut vec![0; 2_000_000])?;
    let per_s = 2e6 / began.elapsed().as_secs_f64();
    writer.join().map_err(|_| io::Error::other("the writer ended"))??;
    set(&bench.link, Direction::Forth, Fault::default())?;
    Ok(Row::new("TCP rate", "1,000,000 bytes/s", format!("{per_s:.0} bytes/s")))
}

/// Both directions cut while both sides write; then healed.
fn silent_cut(bench: &mut Bench) -> io::Result<Row> {
    set(&bench.link, Direction::Both, Fault::cut(Cut::Silent))?;
    bench.client.write_all(&[1; 10_000])?;
    bench.server.write_all(&[2; 10_000])?;
    until(|| {
        let stats = bench.link.stats();
        stats.forth.held_bytes + stats.back.held_bytes == 20_000
    })?;
    let [mut came, open] = [0, bench.link.stats().open as usize];
    for stream in [&mut bench.client, &mut bench.server] {
        stream.set_nonblocking(true)?;
        came += stream.read(&mut [0; 10_000]).unwrap_or(0);
        stream.set_nonblocking(false)?;
    }
    let stats = bench.link.stats();
    let leaked = stats.forth.passed_bytes_while_cut + stats.back.passed_bytes_while_cut;
    set(&bench.link, Direction::Both, Fault::default())?;
    bench.client.read_exact(&mut [0; 10_000])?;
    bench.server.read_exact(&mut [0; 10_000])?;
    let seen = format!("{came} bytes came, {leaked} written, {open} of 1 open; healed: all 20,000 came");
    Ok(Row::new("TCP silent cut", "0 bytes, connection stays open", seen))
}

fn reset_cut(bench: Bench) -> io::Result<Row> {
    set(&bench.link, Direction::Both, Fault::cut(Cut::Reset))?;
    let reset = [bench.client, bench.server]
        .iter_mut()
        .map(|stream| stream.read(&mut [0]))
        .filter(|read| read.as_ref().is_err_and(|e| e.kind() == ErrorKind::ConnectionReset))
        .count();
    let refused = |_: &i32| {
        let attempt = TcpStream::connect(bench.link.address());
        attempt.is_err_and(|e| e.kind() == ErrorKind::ConnectionRefused)
    };
    let refused = (0..100).filter(refused).count();
    let seen = format!("{reset} of 2 ends reset, {refused} of 100 attempts refused");
    Ok(Row::new("TCP reset cut", "both ends reset, then refused", seen))
}
