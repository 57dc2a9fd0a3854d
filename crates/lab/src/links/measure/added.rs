//! What a clean link adds to a round trip: direct and through the link by turns, in one run.

use super::{histogram, HERE};
use crate::links::Links;
use hdrhistogram::Histogram;
use shaletide_testkit::{Clock, WAIT_LIMIT};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::time::Instant;

const SIZE: usize = 200;

/// Two points of a distribution, µs.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Spread {
    /// The median.
    pub p50_us: f64,
    /// The 99th percentile.
    pub p99_us: f64,
}

/// Round trips of a kind of link, by turns with direct ones.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Added {
    /// Which kind of link.
    pub kind: &'static str,
    /// Without the link.
    pub direct: Spread,
    /// Through it, both ways.
    pub link: Spread,
    /// What the link's round trip took longer than the direct one of the same turn; 0 where it was shorter.
    pub added: Spread,
}

/// Round trips of 200 bytes: so many of each, by turns, after a twentieth to warm up.
///
/// # Errors
/// A socket failed, or nothing came for long.
pub fn added(turns: usize) -> io::Result<Vec<Added>> {
    let links = Links::start(Clock::start(), 1)?;
    Ok(vec![tcp(&links, turns)?, udp(&links, turns)?])
}

fn tcp(links: &Links, turns: usize) -> io::Result<Added> {
    let listener = TcpListener::bind((HERE, 0))?;
    let target = listener.local_addr()?;
    let link = links.tcp("clean", ["a", "b"], HERE, target)?;
    let mut streams = Vec::new();
    for address in [target, link.address()] {
        let client = TcpStream::connect(address)?;
        let (mut server, _) = listener.accept()?;
        client.set_nodelay(true)?;
        server.set_nodelay(true)?;
        client.set_read_timeout(Some(WAIT_LIMIT))?;
        std::thread::spawn(move || -> io::Result<()> {
            let mut bytes = [0; SIZE];
            loop {
                server.read_exact(&mut bytes)?;
                server.write_all(&bytes)?;
            }
        });
        streams.push(client);
    }
    by_turns("TCP, clean link", turns, |through| {
        let mut bytes = [7; SIZE];
        streams[through].write_all(&bytes)?;
        streams[through].read_exact(&mut bytes)
    })
}

fn udp(links: &Links, turns: usize) -> io::Result<Added> {
    let direct = echo()?;
    let link = links.udp("clean", ["a", "b"], HERE, direct)?;
    let mut sockets = Vec::new();
    for address in [direct, link.address()] {
        let socket = UdpSocket::bind((HERE, 0))?;
        socket.connect(address)?;
        socket.set_read_timeout(Some(WAIT_LIMIT))?;
        sockets.push(socket);
    }
    by_turns("UDP, clean link", turns, |through| {
        sockets[through].send(&[7; SIZE])?;
        sockets[through].recv(&mut [0; SIZE]).map(|_| ())
    })
}

/// Sends back what comes, until nothing does for long.
fn echo() -> io::Result<SocketAddr> {
    let socket = UdpSocket::bind((HERE, 0))?;
    socket.set_read_timeout(Some(WAIT_LIMIT))?;
    let address = socket.local_addr()?;
    std::thread::spawn(move || -> io::Result<()> {
        let mut bytes = [0; SIZE];
        loop {
            let (count, from) = socket.recv_from(&mut bytes)?;
            socket.send_to(&bytes[..count], from)?;
        }
    });
    Ok(address)
}

fn by_turns(
    kind: &'static str, turns: usize, mut trip: impl FnMut(usize) -> io::Result<()>,
) -> io::Result<Added> {
    let mut timed = |through| -> io::Result<u64> {
        let began = Instant::now();
        trip(through)?;
        Ok(began.elapsed().as_nanos() as u64)
    };
    for _ in 0..turns / 20 {
        timed(0)?;
        timed(1)?;
    }
    let mut spreads = [histogram(), histogram(), histogram()];
    for turn in 0..turns {
        // Each goes first in half of the turns.
        let first = turn % 2;
        let times = [timed(first)?, timed(1 - first)?];
        let (direct, link) = (times[first], times[1 - first]);
        for (spread, ns) in spreads.iter_mut().zip([direct, link, link.saturating_sub(direct)]) {
            spread.saturating_record(ns);
        }
    }
    let [direct, link, added] = spreads.map(|ns| spread(&ns));
    Ok(Added { kind, direct, link, added })
}

fn spread(ns: &Histogram<u64>) -> Spread {
    let us = |quantile| ns.value_at_quantile(quantile) as f64 / 1000.0;
    Spread { p50_us: us(0.5), p99_us: us(0.99) }
}
