//! The links held against themselves: what was asked of each fault, what came at the other end, and what a clean
//! link adds to a round trip. For the page on links; it takes a quarter of a minute.

mod added;
mod datagrams;
mod streams;

pub use added::{added, Added, Spread};

use super::{Direction, Fault, Links};
use hdrhistogram::Histogram;
use shaletide_testkit::{Clock, WAIT_LIMIT};
use std::io;
use std::net::{IpAddr, Ipv4Addr};
use std::time::{Duration, Instant};

const HERE: IpAddr = IpAddr::V4(Ipv4Addr::new(127, 7, 0, 2));

/// A fault as asked, and as seen where it arrives.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// Which link and fault.
    pub fault: String,
    /// What was asked for.
    pub asked: String,
    /// What the receiver saw.
    pub seen: String,
}

impl Row {
    fn new(fault: &str, asked: &str, seen: String) -> Row {
        Row { fault: fault.to_owned(), asked: asked.to_owned(), seen }
    }
}

/// Each fault in turn, on links of that seed.
///
/// # Errors
/// A socket failed, or nothing came for long.
pub fn faults(seed: u64) -> io::Result<Vec<Row>> {
    let links = Links::start(Clock::start(), seed)?;
    let mut rows = datagrams::faults(&links)?;
    rows.extend(streams::faults(&links)?);
    Ok(rows)
}

/// Both tables in Markdown.
pub fn markdown(rows: &[Row], added: &[Added]) -> String {
    let mut text = String::from("| Fault | Asked | Seen at the other end |\n|---|---|---|\n");
    for row in rows {
        text += &format!("| {} | {} | {} |\n", row.fault, row.asked, row.seen);
    }
    text +=
        "\n| Round trip | Direct p50 / p99 µs | Link p50 / p99 µs | Added p50 / p99 µs | Ratio p50 / p99 |\n";
    text += "|---|---|---|---|---|\n";
    for line in added {
        let (direct, link) = (line.direct, line.link);
        let ratio = |part: fn(&Spread) -> f64| part(&link) / part(&direct);
        text += &format!(
            "| {} | {:.1} / {:.1} | {:.1} / {:.1} | {:.1} / {:.1} | {:.2} / {:.2} |\n",
            line.kind,
            direct.p50_us,
            direct.p99_us,
            link.p50_us,
            link.p99_us,
            line.added.p50_us,
            line.added.p99_us,
            ratio(|spread| spread.p50_us),
            ratio(|spread| spread.p99_us),
        );
    }
    text
}

fn set(link: &super::Link, direction: Direction, fault: Fault) -> io::Result<()> {
    link.set(direction, fault).map_err(io::Error::other)
}

fn until(so: impl Fn() -> bool) -> io::Result<()> {
    let began = Instant::now();
    while !so() {
        if began.elapsed() > WAIT_LIMIT {
            return Err(io::ErrorKind::TimedOut.into());
        }
        std::thread::yield_now();
    }
    Ok(())
}

/// Of delays in µs or ns, up to a minute.
fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(60_000_000_000, 3)
        .expect("three digits up to a minute are within the library's range")
}

fn spread_ms(delays: &Histogram<u64>) -> String {
    let ms = |us: u64| us as f64 / 1000.0;
    let (p50, p99) = (delays.value_at_quantile(0.5), delays.value_at_quantile(0.99));
    format!("min {:.2}, p50 {:.2}, p99 {:.2} ms", ms(delays.min()), ms(p50), ms(p99))
}

fn micros(span: Duration) -> u64 {
    span.as_micros() as u64
}

fn percent(part: usize, of: usize) -> String {
    format!("{:.2} % ({part} of {of})", 100.0 * part as f64 / of as f64)
}
