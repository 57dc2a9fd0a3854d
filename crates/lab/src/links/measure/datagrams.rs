//! Faults of datagrams as the receiver sees them.

use super::{histogram, micros, percent, set, spread_ms, until, Row, HERE};
use crate::links::{Cut, Direction, Fault, Link, Links, Peer};
use shaletide_testkit::{Distribution, WAIT_LIMIT};
use std::collections::BTreeMap;
use std::io;
use std::net::UdpSocket;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::Arc;
use std::time::{Duration, Instant};

const COUNT: u32 = 5_000;
const LAST: u32 = u32::MAX;
/// A datagram: its number, then bytes that are all the same.
const SIZE: usize = 100;

struct Came {
    number: u32,
    at: Instant,
    changed: bool,
}

struct Bench {
    link: Link,
    client: UdpSocket,
    target: UdpSocket,
}

fn socket() -> io::Result<UdpSocket> {
    let socket = UdpSocket::bind((HERE, 0))?;
    socket.set_read_timeout(Some(WAIT_LIMIT))?;
    Ok(socket)
}

impl Bench {
    fn new(links: &Links) -> io::Result<Bench> {
        let (client, target) = (socket()?, socket()?);
        let link = links.udp("measured", ["a", "b"], HERE, target.local_addr()?)?;
        client.connect(link.address())?;
        Ok(Bench { link, client, target })
    }

    /// Sends numbered datagrams, each when the one before came in; when each was sent, and what came out.
    fn run(&self, count: u32, gap: Duration, fault: Fault) -> io::Result<(Vec<Instant>, Vec<Came>)> {
        let target = self.target.try_clone()?;
        let got = Arc::new(AtomicU64::new(0));
        let count_got = got.clone();
        let reader = std::thread::spawn(move || read(&target, &count_got));
        set(&self.link, Direction::Forth, fault)?;
        let before = self.link.stats().forth;
        let mut sent = Vec::new();
        for number in 0..count {
            sent.push(Instant::now());
            self.send(number)?;
            until(|| {
                let forth = self.link.stats().forth;
                let came = forth.came - before.came > u64::from(number);
                // The receiver's buffer is never filled: what is missing there the link dropped.
                came && forth.passed - before.passed <= got.load(Relaxed) + 100
            })?;
            std::thread::sleep(gap);
        }
        until(|| self.link.stats().forth.held == 0)?;
        set(&self.link, Direction::Forth, Fault::default())?;
        self.send(LAST)?;
        let came = reader.join().map_err(|_| io::Error::other("the reader ended"))??;
        Ok((sent, came))
    }

    fn send(&self, number: u32) -> io::Result<()> {
        let mut datagram = [7; SIZE];
        datagram[..4].copy_from_slice(&number.to_be_bytes());
        self.client.send(&datagram).map(|_| ())
    }

    fn came(&self, fault: Fault) -> io::Result<Vec<Came>> {
        Ok(self.run(COUNT, Duration::ZERO, fault)?.1)
    }
}

fn read(target: &UdpSocket, got: &AtomicU64) -> io::Result<Vec<Came>> {
    let mut came = Vec::new();
    loop {
        let mut datagram = [0; SIZE];
        target.recv(&mut datagram)?;
        got.fetch_add(1, Relaxed);
        let at = Instant::now();
        let number = u32::from_be_bytes([datagram[0], datagram[1], datagram[2], datagram[3]]);
        if number == LAST {
            return Ok(came);
        }
        let changed = number >= COUNT || datagram[4..].iter().any(|byte| *byte != 7);
        came.push(Came { number, at, changed });
    }
}

pub(super) fn faults(links: &Links) -> io::Result<Vec<Row>> {
    let bench = Bench::new(links)?;
    let mut rows = chances(&bench)?;
    rows.push(delay(&bench, "50 ms", Distribution::Fixed(50.0))?);
    rows.push(delay(&bench, "20 to 80 ms", Distribution::Even(20.0, 80.0))?);
    rows.push(rate(&bench)?);
    rows.push(cut(&bench)?);
    rows.push(mesh(links)?);
    Ok(rows)
}

fn chances(bench: &Bench) -> io::Result<Vec<Row>> {
    let (clean, all) = (Fault::default(), COUNT as usize);
    let lost = all - bench.came(Fault { loss: 0.2, ..clean })?.len();
    let twice = bench.came(Fault { duplicate: 0.1, ..clean })?;
    let overtaken = overtaken(&bench.came(Fault { reorder: 0.1, ..clean })?);
    let changed = bench.came(Fault { corrupt: 0.1, ..clean })?.iter().filter(|came| came.changed).count();
    let again = bench.came(Fault { replay: 0.1, ..clean })?.len() - all;
    let doubled = times(&twice).values().filter(|times| **times == 2).count();
    Ok(vec![
        Row::new("UDP loss", "20 %", percent(lost, all)),
        Row::new("UDP duplication", "10 %", percent(doubled, all)),
        Row::new("UDP reordering", "10 %", percent(overtaken, all) + " overtaken"),
        Row::new("UDP corruption", "10 %", percent(changed, all)),
        Row::new("UDP replay", "10 %", percent(again, all)),
    ])
}

fn times(came: &[Came]) -> BTreeMap<u32, usize> {
    let mut times = BTreeMap::new();
    for came in came {
        *times.entry(came.number).or_default() += 1;
    }
    times
}

/// Those that came behind a later one.
fn overtaken(came: &[Came]) -> usize {
    let mut newest = 0;
    let mut overtaken = 0;
    for came in came {
        overtaken += usize::from(came.number < newest);
        newest = newest.max(came.number);
    }
    overtaken
}

fn delay(bench: &Bench, asked: &str, law: Distribution) -> io::Result<Row> {
    let (sent, came) = bench.run(500, Duration::from_millis(1), Fault::delay_ms(law))?;
    let mut delays = histogram();
    for came in came {
        delays.saturating_record(micros(came.at - sent[came.number as usize]));
    }
    Ok(Row::new("UDP delay", asked, spread_ms(&delays)))
}

fn rate(bench: &Bench) -> io::Result<Row> {
    let fault = Fault { rate: Some(50_000), ..Fault::default() };
    let (sent, came) = bench.run(500, Duration::ZERO, fault)?;
    let last = came.last().ok_or(io::ErrorKind::UnexpectedEof)?;
    let per_s = (came.len() * SIZE) as f64 / (last.at - sent[0]).as_secs_f64();
    Ok(Row::new("UDP rate", "50,000 bytes/s", format!("{per_s:.0} bytes/s, {} of 500 came", came.len())))
}

fn cut(bench: &Bench) -> io::Result<Row> {
    let during = bench.came(Fault::cut(Cut::Silent))?.len();
    let after = bench.run(100, Duration::ZERO, Fault::default())?.1.len();
    let leaked = bench.link.stats().forth.passed_bytes_while_cut;
    let seen = format!("{during} of {COUNT} came, {leaked} bytes written; healed: {after} of 100");
    Ok(Row::new("UDP cut", "nothing passes", seen))
}

/// Three peers, one ordered pair cut: all send to all.
fn mesh(links: &Links) -> io::Result<Row> {
    let names = ["x", "y", "z"];
    let sockets = names.iter().map(|_| socket()).collect::<io::Result<Vec<_>>>()?;
    let mut peers = Vec::new();
    for (name, socket) in names.iter().zip(&sockets) {
        peers.push(Peer { name: (*name).to_owned(), listen: HERE, real: socket.local_addr()? });
    }
    let mesh = links.mesh("measured-mesh", &peers)?;
    mesh.set("x", "y", Fault::cut(Cut::Silent)).map_err(io::Error::other)?;
    let mut by_pair = Vec::new();
    for (from, name) in names.iter().enumerate() {
        for to in names.iter().filter(|to| *to != name) {
            let address = mesh.address(to).ok_or(io::ErrorKind::NotFound)?;
            for nth in 0..100 {
                sockets[from].send_to(b"news", address)?;
                until(|| mesh.stats(name, to).is_some_and(|tally| tally.came > nth && tally.held == 0))?;
            }
            let passed = mesh.stats(name, to).map_or(0, |tally| tally.passed);
            by_pair.push(format!("{name}→{to} {passed}"));
        }
    }
    let at_y = drain(&sockets[1], mesh.address("x"))?;
    let seen = format!("{}; from x at y: {at_y}", by_pair.join(", "));
    Ok(Row::new("Mesh, cut from x to y", "0 of 100 from x to y, all else", seen))
}

/// How many datagrams wait at a socket that came from that address.
fn drain(socket: &UdpSocket, from: Option<std::net::SocketAddr>) -> io::Result<usize> {
    socket.set_nonblocking(true)?;
    let mut count = 0;
    while let Ok((_, sender)) = socket.recv_from(&mut [0; SIZE]) {
        count += usize::from(Some(sender) == from);
    }
    Ok(count)
}
