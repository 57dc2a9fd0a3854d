//! UDP links.

use super::{links, lossy, udp, HERE};
use shaletide_lab::links::{Cut, Direction, Fault, Link, Links, MAX_SENDERS};
use shaletide_testkit::Distribution;
use std::collections::BTreeMap;
use std::net::UdpSocket;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The last datagram of a run.
const LAST: u16 = u16::MAX;

struct Ends {
    _links: Links,
    link: Link,
    client: UdpSocket,
    target: UdpSocket,
}

fn ends() -> Ends {
    let (links, (client, _), (target, address)) = (links(), udp(), udp());
    let link = links.udp("probe", ["a", "b"], HERE, address).unwrap();
    client.connect(link.address()).unwrap();
    Ends { _links: links, link, client, target }
}

impl Ends {
    /// Sends datagrams with numbers, each when the one before came in, and gives what came out meanwhile.
    fn send(&self, numbers: std::ops::Range<u16>, fault: Fault) -> Vec<u16> {
        let target = self.target.try_clone().unwrap();
        let got = Arc::new(AtomicU64::new(0));
        let count = got.clone();
        let next = move || {
            let number = receive(&target);
            count.fetch_add(1, Relaxed);
            Some(number).filter(|number| *number != LAST)
        };
        let reader = std::thread::spawn(move || std::iter::from_fn(next).collect());
        self.link.set(Direction::Forth, fault).unwrap();
        let before = self.link.stats().forth;
        for number in numbers.clone() {
            self.client.send(&number.to_be_bytes()).unwrap();
            super::until("it came in, and the receiver's buffer is far from full", || {
                let forth = self.link.stats().forth;
                let came = forth.came - before.came > u64::from(number - numbers.start);
                came && forth.passed - before.passed <= got.load(Relaxed) + 100
            });
        }
        super::until("all that passes passed", || self.link.stats().forth.held == 0);
        self.link.set(Direction::Forth, Fault::default()).unwrap();
        self.client.send(&LAST.to_be_bytes()).unwrap();
        reader.join().unwrap()
    }
}

fn receive(target: &UdpSocket) -> u16 {
    let mut datagram = [0; 2];
    assert_eq!(target.recv(&mut datagram).unwrap(), 2);
    u16::from_be_bytes(datagram)
}

fn times(came: &[u16]) -> BTreeMap<u16, usize> {
    let mut times = BTreeMap::new();
    for number in came {
        *times.entry(*number).or_default() += 1;
    }
    times
}

#[test]
fn a_clean_link_passes_all_in_order_and_replies_find_back_to_each_sender() {
    let ends = ends();
    assert_eq!(ends.send(0..500, Fault::default()), (0..500).collect::<Vec<u16>>());
    let (other, _) = udp();
    let mut buffer = [0; 100];
    for (client, word) in [(&ends.client, b"one"), (&other, b"two")] {
        client.send_to(word, ends.link.address()).unwrap();
        let (count, from) = ends.target.recv_from(&mut buffer).unwrap();
        ends.target.send_to(&buffer[..count], from).unwrap();
        let (count, from) = client.recv_from(&mut buffer).unwrap();
        assert_eq!((&buffer[..count], from), (&word[..], ends.link.address()));
    }
    assert_eq!(ends.link.stats().open, 2);
}

#[test]
fn loss_of_a_fifth_is_seen_as_such_at_the_other_end() {
    let ends = ends();
    let came = ends.send(0..2000, lossy());
    // 5 standard deviations of 2000 draws.
    assert!((1511..=1689).contains(&came.len()), "{}", came.len());
    assert!(came.is_sorted() && times(&came).len() == came.len());
    assert_eq!(ends.link.stats().forth.lost, 2000 - came.len() as u64);
}

#[test]
fn a_delay_is_never_shorter_than_asked_and_a_spread_lets_datagrams_overtake() {
    let ends = ends();
    let sent = Instant::now();
    let came = ends.send(0..50, Fault::delay_ms(Distribution::Even(10.0, 60.0)));
    assert!(sent.elapsed() >= Duration::from_millis(10));
    assert!(!came.is_sorted(), "{came:?}");
    assert_eq!(times(&came), (0..50).map(|number| (number, 1)).collect());
    ends.link.set(Direction::Forth, Fault::delay_ms(Distribution::Fixed(20.0))).unwrap();
    for number in 0..10u16 {
        let sent = Instant::now();
        ends.client.send(&number.to_be_bytes()).unwrap();
        assert_eq!(receive(&ends.target), number);
        assert!(sent.elapsed() >= Duration::from_millis(20));
    }
}

#[test]
fn a_duplicate_comes_twice_and_all_others_once() {
    let ends = ends();
    let came = ends.send(0..1000, Fault { duplicate: 0.3, ..Fault::default() });
    let times = times(&came);
    let twice = times.values().filter(|times| **times == 2).count();
    assert!(times.len() == 1000 && times.values().all(|times| *times <= 2));
    assert!((227..=373).contains(&twice), "{twice}");
    assert_eq!(ends.link.stats().forth.duplicated, twice as u64);
}

#[test]
fn a_reordered_datagram_comes_behind_one_to_three_later_ones() {
    let ends = ends();
    let came = ends.send(0..1000, Fault { reorder: 0.1, ..Fault::default() });
    assert_eq!(times(&came), (0..1000).map(|number| (number, 1)).collect());
    let overtaken: Vec<usize> = came
        .iter()
        .enumerate()
        .map(|(at, number)| came[..at].iter().filter(|earlier| *earlier > number).count())
        .filter(|by| *by > 0)
        .collect();
    assert!((52..=148).contains(&overtaken.len()), "{}", overtaken.len());
    // More than three only where one that overtook stood aside itself.
    assert!(overtaken.iter().filter(|by| **by <= 3).count() * 10 >= overtaken.len() * 9, "{overtaken:?}");
}

#[test]
fn a_corrupted_datagram_differs_in_one_byte() {
    let ends = ends();
    ends.link.set(Direction::Forth, Fault { corrupt: 1.0, ..Fault::default() }).unwrap();
    for _ in 0..50 {
        ends.client.send(&[0; 300]).unwrap();
        let mut got = [0; 400];
        assert_eq!(ends.target.recv(&mut got).unwrap(), 300);
        assert_eq!(got.iter().filter(|byte| **byte != 0).count(), 1);
    }
}

#[test]
fn a_replayed_datagram_is_one_that_came_before() {
    let ends = ends();
    let came = ends.send(0..400, Fault { replay: 0.25, ..Fault::default() });
    let again = came.len() - 400;
    assert!((57..=143).contains(&again), "{again}");
    assert_eq!(ends.link.stats().forth.replayed, again as u64);
    let mut newest = None;
    for number in came {
        assert!(number <= newest.map_or(0, |newest: u16| newest + 1));
        newest = newest.max(Some(number));
    }
}

#[test]
fn a_cut_drops_all_in_its_direction_and_those_under_way_and_heals() {
    let ends = ends();
    assert_eq!(ends.send(0..10, Fault::default()).len(), 10);
    ends.link.set(Direction::Forth, Fault::delay_ms(Distribution::Fixed(200.0))).unwrap();
    ends.client.send(&[0, 77]).unwrap();
    super::until("under way", || ends.link.stats().forth.held == 1);
    for cut in [Cut::Silent, Cut::Reset] {
        assert!(ends.send(100..150, Fault::cut(cut)).is_empty());
    }
    let forth = ends.link.stats().forth;
    assert_eq!((forth.dropped_by_cut, forth.passed_bytes_while_cut), (101, 0));
    assert_eq!(ends.send(0..10, Fault::default()).len(), 10);
}

#[test]
fn a_one_way_cut_lets_replies_pass() {
    let ends = ends();
    ends.client.send(&[0, 1]).unwrap();
    let mut buffer = [0; 2];
    let (_, reply_to) = ends.target.recv_from(&mut buffer).unwrap();
    ends.link.set(Direction::Forth, Fault::cut(Cut::Silent)).unwrap();
    for _ in 0..10 {
        ends.client.send(&[0, 2]).unwrap();
        ends.target.send_to(&[0, 3], reply_to).unwrap();
        ends.client.recv(&mut buffer).unwrap();
        assert_eq!(buffer, [0, 3]);
    }
    super::until("dropped", || ends.link.stats().forth.dropped_by_cut == 10);
    assert_eq!(ends.link.stats().forth.passed_bytes_since_set, 0);
}

#[test]
fn a_link_knows_a_bounded_number_of_senders_and_forgets_the_one_heard_of_longest_ago() {
    let ends = ends();
    ends.client.send(&[0, 0]).unwrap();
    receive(&ends.target);
    let others: Vec<UdpSocket> = (0..MAX_SENDERS).map(|_| udp().0).collect();
    for other in &others {
        other.send_to(&[0, 1], ends.link.address()).unwrap();
        receive(&ends.target);
    }
    super::until("forgotten", || ends.link.stats().open == MAX_SENDERS as u64);
    ends.client.send(&[0, 2]).unwrap();
    receive(&ends.target);
    assert_eq!(ends.link.stats().accepted, MAX_SENDERS as u64 + 2);
}
