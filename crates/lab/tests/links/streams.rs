//! TCP links.

use super::{connect, links, listener, until, HERE};
use shaletide_lab::links::{Cut, Direction, Fault, MAX_HELD_STREAM_BYTES};
use shaletide_testkit::{Distribution, WAIT_LIMIT};
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::time::{Duration, Instant};

fn read(stream: &mut TcpStream, count: usize) -> Vec<u8> {
    let mut bytes = vec![0; count];
    stream.read_exact(&mut bytes).unwrap();
    bytes
}

fn read_nothing(stream: &mut TcpStream) {
    stream.set_nonblocking(true).unwrap();
    assert_eq!(stream.read(&mut [0]).unwrap_err().kind(), ErrorKind::WouldBlock);
    stream.set_nonblocking(false).unwrap();
}

#[test]
fn a_clean_link_passes_bytes_in_order_and_half_closes_both_ways() {
    let (links, (listener, target)) = (links(), listener());
    let link = links.tcp("web", ["client", "box"], HERE, target).unwrap();
    assert_eq!(link.address().ip(), HERE);
    let (mut client, mut server) = connect(link.address(), &listener);
    let sent: Vec<u8> = (0..300_000).map(|n| (n % 251) as u8).collect();
    let writer = {
        let (mut client, sent) = (client.try_clone().unwrap(), sent.clone());
        std::thread::spawn(move || {
            client.write_all(&sent).unwrap();
            client.shutdown(Shutdown::Write).unwrap();
        })
    };
    let mut got = Vec::new();
    server.read_to_end(&mut got).unwrap();
    writer.join().unwrap();
    assert!(got == sent, "{} bytes", got.len());
    server.write_all(b"answer").unwrap();
    drop(server);
    let mut answer = Vec::new();
    client.read_to_end(&mut answer).unwrap();
    assert_eq!(answer, b"answer");
    until("the connection is done", || link.stats().open == 0);
    let stats = link.stats();
    assert_eq!((stats.accepted, stats.reset, stats.failed), (1, 0, 0));
    assert_eq!((stats.forth.passed_bytes, stats.back.passed_bytes), (300_000, 6));
    assert_eq!((stats.forth.held_bytes, stats.back.held), (0, 0));
}

#[test]
fn a_reset_on_one_side_becomes_a_reset_on_the_other() {
    let (links, (listener, target)) = (links(), listener());
    let link = links.tcp("web", ["client", "box"], HERE, target).unwrap();
    let (mut client, mut server) = connect(link.address(), &listener);
    server.write_all(b"x").unwrap();
    read(&mut client, 1);
    socket2::SockRef::from(&server).set_linger(Some(Duration::ZERO)).unwrap();
    drop(server);
    assert_eq!(client.read(&mut [0]).unwrap_err().kind(), ErrorKind::ConnectionReset);
    let (mut client, mut server) = connect(link.address(), &listener);
    client.write_all(b"x").unwrap();
    read(&mut server, 1);
    socket2::SockRef::from(&client).set_linger(Some(Duration::ZERO)).unwrap();
    drop(client);
    assert_eq!(server.read(&mut [0]).unwrap_err().kind(), ErrorKind::ConnectionReset);
    until("both counted", || link.stats().reset == 2);
}

#[test]
fn a_reset_cut_resets_what_is_open_and_refuses_the_rest_until_it_heals() {
    let (links, (listener, target)) = (links(), listener());
    let link = links.tcp("web", ["client", "box"], HERE, target).unwrap();
    let (mut client, mut server) = connect(link.address(), &listener);
    link.set(Direction::Forth, Fault::cut(Cut::Reset)).unwrap();
    assert_eq!(client.read(&mut [0]).unwrap_err().kind(), ErrorKind::ConnectionReset);
    assert_eq!(server.read(&mut [0]).unwrap_err().kind(), ErrorKind::ConnectionReset);
    for _ in 0..100 {
        let attempt = TcpStream::connect(link.address());
        assert!(attempt.is_err_and(|e| e.kind() == ErrorKind::ConnectionRefused));
    }
    link.set(Direction::Forth, Fault::default()).unwrap();
    until("taken again", || TcpStream::connect(link.address()).is_ok());
}

#[test]
fn cuts_follow_each_other_in_any_order_and_heal() {
    let (links, (listener, target)) = (links(), listener());
    let link = links.tcp("web", ["client", "box"], HERE, target).unwrap();
    let turns =
        [Cut::Silent, Cut::Reset, Cut::Silent, Cut::None, Cut::Reset, Cut::None, Cut::Silent, Cut::None];
    for turn in 0..20 {
        for cut in turns {
            link.set(Direction::Forth, Fault::cut(cut)).unwrap();
            if turn % 2 == 0 {
                let _ = TcpStream::connect_timeout(&link.address(), Duration::from_millis(1));
            }
        }
        link.refuse(true);
        link.refuse(false);
        until("taken", || TcpStream::connect(link.address()).is_ok());
    }
    listener.set_nonblocking(true).unwrap();
    until("all begun are done", || {
        drop(listener.accept());
        link.stats().open == 0
    });
}

#[test]
fn a_target_said_to_be_down_is_refused_at_the_link_and_open_connections_go_on() {
    let (links, (listener, target)) = (links(), listener());
    let link = links.tcp("web", ["client", "box"], HERE, target).unwrap();
    let (mut client, mut server) = connect(link.address(), &listener);
    link.refuse(true);
    for _ in 0..100 {
        let attempt = TcpStream::connect(link.address());
        assert!(attempt.is_err_and(|e| e.kind() == ErrorKind::ConnectionRefused));
    }
    client.write_all(b"x").unwrap();
    assert_eq!(read(&mut server, 1), b"x");
    link.refuse(false);
    until("taken again", || TcpStream::connect(link.address()).is_ok());
}

#[test]
fn nothing_passes_a_silent_cut_its_connections_stay_open_and_its_bytes_follow_when_it_heals() {
    let (links, (listener, target)) = (links(), listener());
    let link = links.tcp("web", ["client", "box"], HERE, target).unwrap();
    let (mut client, mut server) = connect(link.address(), &listener);
    client.write_all(b"before").unwrap();
    assert_eq!(read(&mut server, 6), b"before");
    link.set(Direction::Both, Fault::cut(Cut::Silent)).unwrap();
    client.write_all(b"during").unwrap();
    server.write_all(b"reply").unwrap();
    until("both wait inside", || {
        let stats = link.stats();
        stats.forth.held_bytes == 6 && stats.back.held_bytes == 5
    });
    read_nothing(&mut server);
    read_nothing(&mut client);
    let stats = link.stats();
    assert_eq!((stats.open, stats.reset), (1, 0));
    assert_eq!((stats.forth.passed_bytes_since_set, stats.back.passed_bytes_since_set), (0, 0));
    assert_eq!((stats.forth.passed_bytes_while_cut, stats.back.passed_bytes_while_cut), (0, 0));
    link.set(Direction::Both, Fault::default()).unwrap();
    assert_eq!((read(&mut server, 6), read(&mut client, 5)), (b"during".to_vec(), b"reply".to_vec()));
}

#[test]
fn a_one_way_cut_lets_the_other_way_pass() {
    let (links, (listener, target)) = (links(), listener());
    let link = links.tcp("web", ["client", "box"], HERE, target).unwrap();
    let (mut client, mut server) = connect(link.address(), &listener);
    link.set(Direction::Forth, Fault::cut(Cut::Silent)).unwrap();
    client.write_all(b"lost to sight").unwrap();
    for _ in 0..100 {
        server.write_all(b"reply").unwrap();
        assert_eq!(read(&mut client, 5), b"reply");
    }
    read_nothing(&mut server);
    let stats = link.stats();
    assert_eq!((stats.forth.passed_bytes_since_set, stats.back.passed_bytes), (0, 500));
}

#[test]
fn the_death_of_a_receiver_is_no_news_before_the_cut_of_the_way_back_heals() {
    let (links, (listener, target)) = (links(), listener());
    let link = links.tcp("web", ["client", "box"], HERE, target).unwrap();
    let (mut client, mut server) = connect(link.address(), &listener);
    client.write_all(b"x").unwrap();
    read(&mut server, 1);
    link.set(Direction::Back, Fault::cut(Cut::Silent)).unwrap();
    socket2::SockRef::from(&server).set_linger(Some(Duration::ZERO)).unwrap();
    drop(server);
    client.write_all(b"anyone there?").unwrap();
    until("it went nowhere", || link.stats().forth.came == 2 && link.stats().forth.held == 0);
    read_nothing(&mut client);
    assert_eq!((link.stats().reset, link.stats().open), (0, 1));
    link.set(Direction::Back, Fault::default()).unwrap();
    assert_eq!(client.read(&mut [0]).unwrap_err().kind(), ErrorKind::ConnectionReset);
}

#[test]
fn an_attempt_to_connect_over_a_silent_cut_meets_no_answer_until_it_heals() {
    let (links, (listener, target)) = (links(), listener());
    let link = links.tcp("web", ["client", "box"], HERE, target).unwrap();
    link.set(Direction::Back, Fault::cut(Cut::Silent)).unwrap();
    let short = Duration::from_millis(100);
    // The first may still find a place that the cut has not filled yet.
    until("no answer", || {
        TcpStream::connect_timeout(&link.address(), short).is_err_and(|e| e.kind() == ErrorKind::TimedOut)
    });
    link.set(Direction::Back, Fault::default()).unwrap();
    let mut client = TcpStream::connect_timeout(&link.address(), WAIT_LIMIT).unwrap();
    client.write_all(b"hello").unwrap();
    listener.set_nonblocking(true).unwrap();
    // Those given up before may come first, and are at their end.
    until("served", || {
        let Ok((mut server, _)) = listener.accept() else { return false };
        server.set_read_timeout(Some(WAIT_LIMIT)).unwrap();
        let mut got = [0; 5];
        server.read_exact(&mut got).is_ok() && got == *b"hello"
    });
}

#[test]
fn a_receiver_that_reads_nothing_stops_the_reading_at_the_bound() {
    let (links, (listener, target)) = (links(), listener());
    let link = links.tcp("web", ["client", "box"], HERE, target).unwrap();
    let (client, mut server) = connect(link.address(), &listener);
    link.set(Direction::Forth, Fault::cut(Cut::Silent)).unwrap();
    let mut sender = client.try_clone().unwrap();
    let writer = std::thread::spawn(move || {
        let sent = vec![5; 40_000_000];
        sender.write_all(&sent).unwrap();
    });
    until("full", || link.stats().forth.held_bytes >= MAX_HELD_STREAM_BYTES as u64);
    let held = link.stats().forth.held_bytes;
    assert!(held < (MAX_HELD_STREAM_BYTES + shaletide_lab::links::MAX_CHUNK) as u64, "{held}");
    assert!(!writer.is_finished());
    link.set(Direction::Forth, Fault::default()).unwrap();
    assert!(read(&mut server, 40_000_000).iter().all(|byte| *byte == 5));
    writer.join().unwrap();
}

#[test]
fn a_delay_is_never_shorter_than_asked() {
    let (links, (listener, target)) = (links(), listener());
    let link = links.tcp("web", ["client", "box"], HERE, target).unwrap();
    let (mut client, mut server) = connect(link.address(), &listener);
    link.set(Direction::Forth, Fault::delay_ms(Distribution::Even(5.0, 20.0))).unwrap();
    for nth in 0..20u8 {
        let sent = Instant::now();
        client.write_all(&[nth]).unwrap();
        assert_eq!(read(&mut server, 1), [nth]);
        assert!(sent.elapsed() >= Duration::from_millis(5));
    }
}

#[test]
fn a_corrupted_chunk_differs_in_one_byte_and_a_lost_one_stalls() {
    let (links, (listener, target)) = (links(), listener());
    let link = links.tcp("web", ["client", "box"], HERE, target).unwrap();
    let (mut client, mut server) = connect(link.address(), &listener);
    link.set(Direction::Forth, Fault { corrupt: 1.0, loss: 0.5, ..Fault::default() }).unwrap();
    for _ in 0..8 {
        client.write_all(&[9; 50]).unwrap();
        assert_eq!(read(&mut server, 50).iter().filter(|byte| **byte != 9).count(), 1);
    }
    let forth = link.stats().forth;
    assert_eq!((forth.corrupted, forth.came), (8, 8));
    assert!((1..8).contains(&forth.stalled), "{}", forth.stalled);
}

#[test]
fn a_target_that_refuses_is_a_reset_and_a_new_aim_leads_elsewhere() {
    let (links, (gone, nobody), (listener, target)) = (links(), listener(), listener());
    drop(gone);
    let link = links.tcp("web", ["client", "box"], HERE, nobody).unwrap();
    let mut client = TcpStream::connect(link.address()).unwrap();
    client.set_read_timeout(Some(WAIT_LIMIT)).unwrap();
    assert_eq!(client.read(&mut [0]).unwrap_err().kind(), ErrorKind::ConnectionReset);
    until("counted", || link.stats().failed == 1 && link.stats().open == 0);
    link.aim(target);
    let (mut client, mut server) = connect(link.address(), &listener);
    client.write_all(b"x").unwrap();
    assert_eq!(read(&mut server, 1), b"x");
}

#[test]
fn a_dropped_link_ends_its_connections_and_frees_its_port() {
    let (links, (listener, target)) = (links(), listener());
    let link = links.tcp("web", ["client", "box"], HERE, target).unwrap();
    let address = link.address();
    let (mut client, mut server) = connect(address, &listener);
    drop(link);
    assert_eq!(client.read(&mut [0]).unwrap_or(0), 0);
    assert_eq!(server.read(&mut [0]).unwrap_or(0), 0);
    until("free", || links.tcp_at("again", ["a", "b"], address, target).is_ok());
}
