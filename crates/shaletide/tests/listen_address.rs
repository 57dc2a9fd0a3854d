//! The start of the program while its listen address is in use: it waits, handles signals and serves once the address is
//! free. The test itself occupies the address, and releases it when the program has logged the failure.

mod harness;

use harness::*;
use socket2::{Domain, Socket, Type};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// The log text while the program cannot bind its address.
const CANNOT_LISTEN: &str = "cannot listen on ";
/// The log text once the program listens on its address.
const LISTENS: &str = "listens on ";

/// The kind of socket that holds the address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Holder {
    /// A bound socket that does not listen.
    Bound,
    /// A listening socket.
    Listening,
    /// A listening socket with SO_REUSEPORT.
    ListeningShared,
    /// A listening socket at the port on all addresses (0.0.0.0).
    ListeningOnAll,
    /// An accepted connection whose listener is closed.
    Accepted,
    /// An outgoing connection from the address.
    Connected,
}

/// The sockets that hold an address, which is free as soon as they are dropped.
struct HeldAddress {
    address: SocketAddr,
    _sockets: Vec<Socket>,
}

fn socket() -> Socket {
    Socket::new(Domain::IPV4, Type::STREAM, None).unwrap()
}

fn bind(socket: &Socket, ip: [u8; 4]) -> SocketAddr {
    socket.bind(&SocketAddr::from((ip, 0)).into()).unwrap();
    let port = socket.local_addr().unwrap().as_socket().unwrap().port();
    SocketAddr::from(([127, 0, 0, 1], port))
}

const LOOPBACK: [u8; 4] = [127, 0, 0, 1];

impl Holder {
    fn hold(self) -> HeldAddress {
        let holder = socket();
        if self == Holder::ListeningShared {
            holder.set_reuse_port(true).unwrap();
        }
        let address = bind(&holder, if self == Holder::ListeningOnAll { [0; 4] } else { LOOPBACK });
        let mut sockets = Vec::new();
        match self {
            Holder::Bound => sockets.push(holder),
            Holder::Listening | Holder::ListeningShared | Holder::ListeningOnAll => {
                holder.listen(8).unwrap();
                sockets.push(holder);
            }
            Holder::Accepted => {
                holder.listen(8).unwrap();
                let client = TcpStream::connect(address).unwrap();
                let (accepted, _) = holder.accept().unwrap();
                sockets.extend([accepted, client.into()]);
            }
            Holder::Connected => {
                let peer = socket();
                let to = bind(&peer, LOOPBACK);
                peer.listen(8).unwrap();
                holder.connect(&to.into()).unwrap();
                let (accepted, _) = peer.accept().unwrap();
                sockets.extend([holder, accepted, peer]);
            }
        }
        // Closing with a reset leaves no connection in TIME_WAIT.
        for socket in &sockets {
            let _ = socket.set_linger(Some(Duration::ZERO));
        }
        HeldAddress { address, _sockets: sockets }
    }
}

const HOLDERS: [Holder; 6] = [
    Holder::Bound,
    Holder::Listening,
    Holder::ListeningShared,
    Holder::ListeningOnAll,
    Holder::Accepted,
    Holder::Connected,
];

/// Starts the program at an address that is held, and waits until it logs the failure to listen.
fn start_at_held_address(address: SocketAddr, backend: &BackendServer) -> Proxy {
    let proxy = program().spawn_at(address, &[endpoint_json("b0", backend.address, "SERVING")]);
    proxy.log.expect(0, &format!("{CANNOT_LISTEN}{address}"));
    proxy
}

#[test]
fn program_serves_once_its_held_address_is_released() {
    let backend = BackendServer::start(|_| ok_reply("done"));
    for holder in HOLDERS {
        let held = holder.hold();
        let mut proxy = start_at_held_address(held.address, &backend);
        // The line is logged again about a second later, while the address is still held: nothing is served meanwhile.
        let (first, _) =
            proxy.log.wait(0, |line| line.contains(CANNOT_LISTEN)).expect("a line on the held address");
        proxy.log.wait(first + 1, |line| line.contains(CANNOT_LISTEN));
        assert!(
            proxy.child.try_wait().unwrap().is_none(),
            "{holder:?}: the program ended while its address was held"
        );
        assert!(!proxy.log.since(0).iter().any(|line| line.contains(LISTENS)), "{holder:?}");
        drop(held);
        assert!(proxy.wait_ready().is_some(), "{holder:?}");
        assert_eq!(proxy.request(&pay_request(3.0)).status(), 200, "{holder:?}");
        proxy.signal("TERM");
        assert!(proxy.child.wait().unwrap().success(), "{holder:?}");
    }
}

#[test]
fn program_handles_signals_while_its_address_is_held() {
    let backend = BackendServer::start(|_| ok_reply("done"));
    for signals in [&["TERM"][..], &["INT"], &["HUP", "TERM"], &["HUP", "HUP", "HUP", "TERM", "TERM"]] {
        let held = Holder::Listening.hold();
        let mut proxy = start_at_held_address(held.address, &backend);
        for signal in signals {
            proxy.signal(signal);
            if *signal == "HUP" {
                proxy.log.expect(0, "SIGHUP: taken");
            }
        }
        let start = Instant::now();
        assert_eq!(proxy.child.wait().unwrap().code(), Some(0), "{signals:?}");
        assert!(start.elapsed() < Duration::from_secs(2), "{signals:?}: slow stop without open requests");
    }
}

/// Reserves an address for the program with a bound socket that has SO_REUSEPORT and does not listen.
fn reserve_address() -> (Socket, SocketAddr) {
    let holder = socket();
    holder.set_reuse_port(true).unwrap();
    let address = bind(&holder, LOOPBACK);
    (holder, address)
}

#[test]
fn program_serves_at_a_reserved_address_during_the_reservation() {
    let backend = BackendServer::start(|_| ok_reply("done"));
    let (_holder, address) = reserve_address();
    let mut proxy = program().spawn_at(address, &[endpoint_json("b0", backend.address, "SERVING")]);
    assert!(proxy.wait_ready().is_some());
    assert_eq!(proxy.request(&pay_request(3.0)).status(), 200);
}

/// Two processes start at one reserved address: the second listens only after the first has ended.
#[test]
fn only_one_of_two_processes_listens_at_a_reserved_address() {
    let backend = BackendServer::start(|_| ok_reply("done"));
    for _ in 0..4 {
        let (_holder, address) = reserve_address();
        let spawn = || program().spawn_at(address, &[endpoint_json("b0", backend.address, "SERVING")]);
        let mut proxies = [spawn(), spawn()];
        assert!(proxies[0].wait_ready().is_some());
        let listens = |proxy: &Proxy| proxy.log.since(0).iter().any(|line| line.contains(LISTENS));
        // The log is read by another thread.
        let start = Instant::now();
        while !proxies.iter().any(listens) && start.elapsed() < WAIT_LIMIT {
            std::thread::sleep(Duration::from_millis(1));
        }
        let first = usize::from(!listens(&proxies[0]));
        proxies[1 - first].log.expect(0, CANNOT_LISTEN);
        assert_eq!(proxies.iter().filter(|proxy| listens(proxy)).count(), 1);
        proxies[first].signal("TERM");
        assert!(proxies[first].child.wait().unwrap().success());
        proxies[1 - first].log.expect(0, LISTENS);
        assert_eq!(proxies[1 - first].request(&pay_request(3.0)).status(), 200);
    }
}

/// The earlier process is stopped while the next one waits for the address: the earlier one answers the requests that it has
/// read, the next one those that come after its close, and no request is lost.
#[test]
fn hand_over_from_an_earlier_process_loses_no_request() {
    let gate = std::sync::Arc::new(Gate::default());
    let response_gate = gate.clone();
    let backend = BackendServer::start(move |_| Reply::Gate(response_gate.clone()));
    let known = [endpoint_json("b0", backend.address, "SERVING")];
    let mut earlier = program().start(&known);
    let next = program().spawn_at(earlier.address, &known);
    next.log.expect(0, CANNOT_LISTEN);
    let mut clients: Vec<Client> = (0..3)
        .map(|_| {
            let mut client = earlier.client();
            client.send(&pay_request(3.0));
            backend.next_request();
            client
        })
        .collect();
    earlier.signal("TERM");
    earlier.log.expect(0, "stopping");
    gate.open();
    for client in &mut clients {
        assert_eq!(client.answer().expect("a response that is owed").status(), 200);
    }
    // A new connection reaches one of the two processes, or is refused between the one's close and the other's listen.
    next.log.expect(0, LISTENS);
    assert_eq!(next.request(&pay_request(3.0)).status(), 200);
    assert!(earlier.child.wait().unwrap().success());
}

/// Each listener of an operators' file waits on its own, so that a held address does not delay the others. The program exits
/// when the address has been held for ten seconds.
#[test]
fn held_address_of_an_operators_file_delays_no_other_and_ends_the_start_after_ten_seconds() {
    let backend = BackendServer::start(|_| ok_reply("done"));
    let (held, free) = (Holder::Listening.hold(), RefusingPort::new());
    let listener = |address: SocketAddr| format!("[[listener]]\naddress = \"{address}\"\n");
    let text =
        listener(held.address) + &listener(free.address()) + CLASSES + &pool("p", &[(backend.address, "a")]);
    let mut proxy = program().spawn_serving(free.address(), &text);
    proxy.log.expect(0, CANNOT_LISTEN);
    assert!(proxy.wait_ready().is_some(), "the free address does not serve");
    let start = Instant::now();
    let code = proxy.child.wait().unwrap().code();
    assert_eq!(code, Some(1));
    assert!(start.elapsed() > Duration::from_secs(8), "the program gave up too early");
    proxy.log.expect(0, &format!("shaletide: {CANNOT_LISTEN}{}: bind: Address already in use", held.address));
}

/// The log names the socket that holds the address, its process and the number of attempts.
#[test]
fn log_names_the_holder_of_the_address() {
    let backend = BackendServer::start(|_| ok_reply("done"));
    let descriptions = [
        (Holder::Listening, "held by a listening socket"),
        (Holder::Bound, "held by a socket that is bound and neither listens nor is connected"),
        (Holder::Accepted, "held by a connection in state ESTABLISHED"),
    ];
    for (holder, description) in descriptions {
        let held = holder.hold();
        let proxy = start_at_held_address(held.address, &backend);
        let line = proxy.log.expect(0, description);
        assert!(line.contains("bind: Address already in use (os error 98)"), "{line}");
        assert!(line.contains("; 1 attempts in "), "{line}");
        if holder != Holder::Bound {
            assert!(line.contains(&format!("process {}", std::process::id())), "{line}");
        }
    }
}

/// Measures the time from the release of the address to the first response, over 50 starts. Run by hand:
/// `--ignored --nocapture`.
#[test]
#[ignore = "a measurement"]
fn time_from_release_to_first_response() {
    let backend = BackendServer::start(|_| ok_reply("done"));
    let mut times: Vec<Duration> = Vec::new();
    for number in 0..50 {
        let held = HOLDERS[number % HOLDERS.len()].hold();
        let mut proxy = start_at_held_address(held.address, &backend);
        std::thread::sleep(Duration::from_millis(200 + 7 * number as u64));
        drop(held);
        let release = Instant::now();
        let ready_at = proxy.wait_ready().expect("the program serves");
        times.push(ready_at - release);
    }
    times.sort();
    println!("from release to first response, 50 starts: median {:?}, worst {:?}", times[25], times[49]);
    assert!(times[49] < Duration::from_millis(200));
}
