//! SIGTERM at many moments of a request's life, with one sort of system call failing: before its first byte, between its
//! segments, while its attempt or its answer is written, and as its connection is closed.

mod rig;

use rig::*;
use shaletide_soak::call_faults::CallFault;
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// Connections of one process, each with a request at a moment of its own.
const CONNECTIONS: u32 = 8;
/// Rounds for each sort of failing call.
const ROUNDS: u32 = 5;
/// Processes that are stopped at a time.
const LANES: u32 = 5;
/// The requests begin at moments from just before SIGTERM until this much later.
const SWEEP: Duration = Duration::from_millis(4);
/// The pause between two segments of a request.
const SEGMENT_PAUSE: Duration = Duration::from_millis(2);
/// A request that lay unread for longer did not cross the close of its connection.
const CROSSED: Duration = Duration::from_millis(20);
/// What is reset after its end comes within this time.
const RESET_WAIT: Duration = Duration::from_millis(30);

const FAULTS: [Option<CallFault>; 8] = [
    None,
    Some(CallFault::ShortRead),
    Some(CallFault::ShortWrite),
    Some(CallFault::InterruptedRead),
    Some(CallFault::InterruptedWrite),
    Some(CallFault::InterruptedWait),
    Some(CallFault::SocketOption),
    Some(CallFault::InterruptedSignalRead),
];

/// How a request ended for its client.
#[derive(Debug, PartialEq, Eq)]
enum End {
    Answered,
    /// The connection was closed before the request, which was not sent.
    ClosedBefore,
    /// The connection was closed with the request unread, as it came.
    Crossed,
    /// The proxy has read it, or let it lie, and has closed the connection without an answer.
    Lost(String),
}

/// The request of a connection, in the segments in which it is written.
fn segments(connection: u32) -> Vec<Vec<u8>> {
    let request = if connection % 2 == 0 { read(3.0) } else { pay(3.0) };
    let request = request.into_bytes();
    let cut = match connection % 4 {
        0 => request.len(),
        1 => request.len() - 2,
        2 => 1,
        _ => request.len() / 2,
    };
    [&request[..cut], &request[cut..]]
        .iter()
        .filter(|part| !part.is_empty())
        .map(|part| part.to_vec())
        .collect()
}

/// Whether a connection is open with nothing on it, as far as its client has heard.
fn is_at_rest(tcp: &TcpStream) -> bool {
    tcp.set_nonblocking(true).unwrap();
    let peeked = tcp.peek(&mut [0]);
    tcp.set_nonblocking(false).unwrap();
    matches!(peeked, Err(error) if error.kind() == ErrorKind::WouldBlock)
}

fn exchange(tcp: &mut TcpStream, segments: &[Vec<u8>]) -> End {
    if !is_at_rest(tcp) {
        return End::ClosedBefore;
    }
    let begun = Instant::now();
    for (number, segment) in segments.iter().enumerate() {
        if number > 0 {
            std::thread::sleep(SEGMENT_PAUSE);
        }
        if tcp.write_all(segment).is_err() {
            break; // it was reset: what the read says counts
        }
    }
    let mut answer = Vec::new();
    let read = loop {
        let mut bytes = [0; 4096];
        match tcp.read(&mut bytes) {
            Ok(length) if length > 0 => answer.extend(&bytes[..length]),
            end => break end,
        }
        if answer.starts_with(b"HTTP/1.1 200") && answer.ends_with(b"done") {
            return End::Answered;
        }
    };
    if !answer.is_empty() {
        return End::Lost(format!("after {:?}", String::from_utf8_lossy(&answer)));
    }
    let end = match read {
        // An end of the stream is followed by a reset where the request lies unread.
        Ok(_) => {
            let unread_for = begun.elapsed();
            std::thread::sleep(RESET_WAIT);
            let is_reset = matches!(tcp.take_error(), Ok(Some(_))) || tcp.write_all(b"x").is_err();
            (is_reset, unread_for)
        }
        Err(error) => {
            let is_reset = matches!(error.kind(), ErrorKind::ConnectionReset | ErrorKind::BrokenPipe);
            (is_reset, begun.elapsed())
        }
    };
    match end {
        (true, unread_for) if unread_for < CROSSED => End::Crossed,
        (is_reset, after) => End::Lost(format!("closed after {after:?}, reset: {is_reset}")),
    }
}

/// Stops one process while its connections have requests, and returns how these ended.
fn round(number: u32, fault: Option<CallFault>) -> Vec<End> {
    let folder = Folder::new();
    let (program, control) = faulty(&folder, None);
    let backend = BackendServer::start(|number| {
        std::thread::sleep(Duration::from_micros(700 * u64::from(number % 5)));
        ok("done")
    });
    let mut proxy = program.start(&[entry("b0", backend.address, "SERVING")]);
    let mut clients: Vec<Client> = (0..CONNECTIONS).map(|_| proxy.client()).collect();
    for client in &mut clients {
        assert_eq!(client.ask(&read(3.0)).status(), 200);
    }
    if let Some(fault) = fault {
        control.set(fault, 0.5).unwrap();
    }
    let begun = Instant::now();
    let requests: Vec<_> = (0..)
        .zip(clients)
        .map(|(connection, client)| {
            let place = (connection * ROUNDS + number) as f64 / f64::from(CONNECTIONS * ROUNDS);
            let at = begun + SWEEP.mul_f64(place);
            std::thread::spawn(move || {
                let mut tcp = client.0.into_inner();
                std::thread::sleep(at.saturating_duration_since(Instant::now()));
                exchange(&mut tcp, &segments(connection))
            })
        })
        .collect();
    proxy.signal("TERM");
    let ends = requests.into_iter().map(|request| request.join().unwrap()).collect();
    control.clear().unwrap();
    assert!(proxy.child.wait().unwrap().success(), "{fault:?}");
    ends
}

/// Guards against a request that is read, or lies unread for long, as its connection is closed at a stop.
#[test]
fn stop_at_any_moment_of_a_request_loses_none() {
    let mut ends = Vec::new();
    let rounds: Vec<(u32, Option<CallFault>)> =
        FAULTS.iter().flat_map(|fault| (0..ROUNDS).map(|number| (number, *fault))).collect();
    for lane in rounds.chunks(LANES as usize) {
        let running: Vec<_> = lane
            .iter()
            .map(|&(number, fault)| std::thread::spawn(move || (fault, round(number, fault))))
            .collect();
        ends.extend(running.into_iter().map(|round| round.join().unwrap()));
    }
    let lost: Vec<_> = ends
        .iter()
        .flat_map(|(fault, ends)| ends.iter().map(move |end| (fault, end)))
        .filter(|(_, end)| matches!(end, End::Lost(_)))
        .collect();
    assert!(lost.is_empty(), "{lost:?}");
    let count = |of: End| ends.iter().flat_map(|(_, ends)| ends).filter(|end| **end == of).count();
    let [answered, crossed, closed] = [End::Answered, End::Crossed, End::ClosedBefore].map(count);
    println!("{answered} answered, {crossed} crossed a close, {closed} not sent on closed connections");
    assert!(answered > 50 && closed > 10, "{answered} answered, {crossed} crossed, {closed} closed before");
}
