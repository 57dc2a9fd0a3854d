//! Checks SIGTERM at many moments of a request, with one kind of system call failing: before its first byte, between its
//! segments, while its attempt or its answer is written, and as its connection is closed.

mod rig;

use rig::stop_requests::{exchange, segments, CrossingLimit, RequestEnd, FAULTS};
use rig::*;
use shaletide_soak::call_faults::CallFault;
use std::time::{Duration, Instant};

/// Number of connections of one process, each with a request at a different moment.
const CONNECTIONS: u32 = 8;
/// Number of rounds for each kind of failing call.
const ROUNDS: u32 = 5;
/// Number of processes that are stopped concurrently.
const CONCURRENT_PROCESSES: u32 = 5;
/// The requests begin at moments from just before SIGTERM until this much later.
const SWEEP: Duration = Duration::from_millis(4);
/// A request that was unread for longer did not cross the close of its connection.
const MAX_UNREAD_TIME: Duration = Duration::from_millis(20);

/// Stops one process while its connections have requests, and returns the ends of the requests.
fn round(number: u32, fault: Option<CallFault>) -> Vec<RequestEnd> {
    let folder = Folder::new();
    let (program, control) = faulty(&folder, None);
    let backend = BackendServer::start(|number| {
        std::thread::sleep(Duration::from_micros(700 * u64::from(number % 5)));
        ok_reply("done")
    });
    let mut proxy = program.start(&[endpoint_json("b0", backend.address, "SERVING")]);
    let mut clients: Vec<Client> = (0..CONNECTIONS).map(|_| proxy.client()).collect();
    for client in &mut clients {
        assert_eq!(client.request(&read_request(3.0)).status(), 200);
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
                std::thread::sleep(at.saturating_duration_since(Instant::now()));
                let limit = CrossingLimit { readable_from: begun, longest: MAX_UNREAD_TIME };
                exchange(client.0.into_inner(), segments(connection), limit)
            })
        })
        .collect();
    proxy.signal("TERM");
    let ends = requests.into_iter().map(|request| request.join().unwrap()).collect();
    control.clear().unwrap();
    assert!(proxy.child.wait().unwrap().success(), "{fault:?}");
    ends
}

/// Guards against a request that is read, or unread for long, when its connection is closed at a stop.
#[test]
fn stop_at_any_moment_of_a_request_loses_none() {
    let mut ends = Vec::new();
    let rounds: Vec<(u32, Option<CallFault>)> =
        FAULTS.iter().flat_map(|fault| (0..ROUNDS).map(|number| (number, *fault))).collect();
    for batch in rounds.chunks(CONCURRENT_PROCESSES as usize) {
        let running: Vec<_> = batch
            .iter()
            .map(|&(number, fault)| std::thread::spawn(move || (fault, round(number, fault))))
            .collect();
        ends.extend(running.into_iter().map(|round| round.join().unwrap()));
    }
    let lost: Vec<_> = ends
        .iter()
        .flat_map(|(fault, ends)| ends.iter().map(move |end| (fault, end)))
        .filter(|(_, end)| matches!(end, RequestEnd::Lost(_) | RequestEnd::Refused))
        .collect();
    assert!(lost.is_empty(), "{lost:?}");
    let count = |of: RequestEnd| ends.iter().flat_map(|(_, ends)| ends).filter(|end| **end == of).count();
    let [answered, crossed, closed] =
        [RequestEnd::Answered, RequestEnd::Crossed, RequestEnd::ClosedBefore].map(count);
    println!("{answered} answered, {crossed} crossed a close, {closed} not sent on closed connections");
    assert!(answered > 50 && closed > 10, "{answered} answered, {crossed} crossed, {closed} closed before");
}
