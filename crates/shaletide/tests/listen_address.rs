//! The start of the program while its listen address is not to be had: it waits, heeds signals and serves once the
//! address is free. Each holder of the address is made by the test, and released on what the program says.

mod harness;

use harness::*;
use socket2::{Domain, Socket, Type};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// What the program says while it cannot have its address.
const WAITS: &str = "cannot listen on ";
/// What it says once it has it.
const SERVES: &str = "listens on ";

/// Who holds the address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Holder {
    /// A socket that is bound and does not listen.
    Bound,
    /// A listening socket.
    Listening,
    /// A listening socket that would share the port.
    ListeningShared,
    /// A listening socket at the port on all addresses.
    ListeningEverywhere,
    /// A connection that was accepted by a listener which is closed by now.
    Accepted,
    /// A connection that was made from the address.
    Connected,
}

/// The sockets of a holder; dropped, the address is free at once.
struct Held {
    at: SocketAddr,
    _sockets: Vec<Socket>,
}

fn socket() -> Socket {
    Socket::new(Domain::IPV4, Type::STREAM, None).unwrap()
}

fn bound(socket: &Socket, ip: [u8; 4]) -> SocketAddr {
    socket.bind(&SocketAddr::from((ip, 0)).into()).unwrap();
    let port = socket.local_addr().unwrap().as_socket().unwrap().port();
    SocketAddr::from(([127, 0, 0, 1], port))
}

const HERE: [u8; 4] = [127, 0, 0, 1];

impl Holder {
    fn hold(self) -> Held {
        let holder = socket();
        if self == Holder::ListeningShared {
            holder.set_reuse_port(true).unwrap();
        }
        let at = bound(&holder, if self == Holder::ListeningEverywhere { [0; 4] } else { HERE });
        let mut sockets = Vec::new();
        match self {
            Holder::Bound => sockets.push(holder),
            Holder::Listening | Holder::ListeningShared | Holder::ListeningEverywhere => {
                holder.listen(8).unwrap();
                sockets.push(holder);
            }
            Holder::Accepted => {
                holder.listen(8).unwrap();
                let client = TcpStream::connect(at).unwrap();
                let (accepted, _) = holder.accept().unwrap();
                sockets.extend([accepted, client.into()]);
            }
            Holder::Connected => {
                let far = socket();
                let to = bound(&far, HERE);
                far.listen(8).unwrap();
                holder.connect(&to.into()).unwrap();
                let (accepted, _) = far.accept().unwrap();
                sockets.extend([holder, accepted, far]);
            }
        }
        // A reset at the end leaves nothing behind in TIME_WAIT.
        for socket in &sockets {
            let _ = socket.set_linger(Some(Duration::ZERO));
        }
        Held { at, _sockets: sockets }
    }
}

const HOLDERS: [Holder; 6] = [
    Holder::Bound,
    Holder::Listening,
    Holder::ListeningShared,
    Holder::ListeningEverywhere,
    Holder::Accepted,
    Holder::Connected,
];

/// Starts the program at an address that is held, and waits until it says so.
fn launch_at(at: SocketAddr, backend: &BackendServer) -> Proxy {
    let proxy = program().spawn_at(at, &[endpoint_json("b0", backend.address, "SERVING")]);
    proxy.log.expect(0, &format!("{WAITS}{at}"));
    proxy
}

#[test]
fn serves_once_its_held_address_is_released() {
    let backend = BackendServer::start(|_| ok_reply("done"));
    for holder in HOLDERS {
        let held = holder.hold();
        let mut proxy = launch_at(held.at, &backend);
        // Still held as it is told again, about a second later: nothing is served beside the holder.
        let (first, _) = proxy.log.wait(0, |line| line.contains(WAITS)).expect("a line on the wait");
        proxy.log.wait(first + 1, |line| line.contains(WAITS));
        assert!(proxy.child.try_wait().unwrap().is_none(), "{holder:?}: it ended while its address was held");
        assert!(!proxy.log.since(0).iter().any(|line| line.contains(SERVES)), "{holder:?}");
        drop(held);
        assert!(proxy.wait_ready().is_some(), "{holder:?}");
        assert_eq!(proxy.request(&pay_request(3.0)).status(), 200, "{holder:?}");
        proxy.signal("TERM");
        assert!(proxy.child.wait().unwrap().success(), "{holder:?}");
    }
}

#[test]
fn handles_signals_while_its_address_is_held() {
    let backend = BackendServer::start(|_| ok_reply("done"));
    for signals in [&["TERM"][..], &["INT"], &["HUP", "TERM"], &["HUP", "HUP", "HUP", "TERM", "TERM"]] {
        let held = Holder::Listening.hold();
        let mut proxy = launch_at(held.at, &backend);
        for signal in signals {
            proxy.signal(signal);
            if *signal == "HUP" {
                proxy.log.expect(0, "SIGHUP: taken");
            }
        }
        let begun = Instant::now();
        assert_eq!(proxy.child.wait().unwrap().code(), Some(0), "{signals:?}");
        assert!(begun.elapsed() < Duration::from_secs(2), "{signals:?}: nothing was open");
    }
}

/// A socket that is bound with SO_REUSEPORT and does not listen keeps an address for whoever is meant to have it.
fn reserved() -> (Socket, SocketAddr) {
    let holder = socket();
    holder.set_reuse_port(true).unwrap();
    let at = bound(&holder, HERE);
    (holder, at)
}

#[test]
fn serves_at_a_reserved_address_while_it_is_reserved() {
    let backend = BackendServer::start(|_| ok_reply("done"));
    let (_holder, at) = reserved();
    let mut proxy = program().spawn_at(at, &[endpoint_json("b0", backend.address, "SERVING")]);
    assert!(proxy.wait_ready().is_some());
    assert_eq!(proxy.request(&pay_request(3.0)).status(), 200);
}

/// Two programs of ours want one reserved address: the second waits until the first has ended.
#[test]
fn only_one_of_two_listens_at_a_reserved_address() {
    let backend = BackendServer::start(|_| ok_reply("done"));
    for _ in 0..4 {
        let (_holder, at) = reserved();
        let start = || program().spawn_at(at, &[endpoint_json("b0", backend.address, "SERVING")]);
        let mut proxies = [start(), start()];
        assert!(proxies[0].wait_ready().is_some());
        let serves = |proxy: &Proxy| proxy.log.since(0).iter().any(|line| line.contains(SERVES));
        // The log comes through a thread of its own.
        let begun = Instant::now();
        while !proxies.iter().any(serves) && begun.elapsed() < WAIT_LIMIT {
            std::thread::sleep(Duration::from_millis(1));
        }
        let first = usize::from(!serves(&proxies[0]));
        proxies[1 - first].log.expect(0, WAITS);
        assert_eq!(proxies.iter().filter(|proxy| serves(proxy)).count(), 1);
        proxies[first].signal("TERM");
        assert!(proxies[first].child.wait().unwrap().success());
        proxies[1 - first].log.expect(0, SERVES);
        assert_eq!(proxies[1 - first].request(&pay_request(3.0)).status(), 200);
    }
}

/// An earlier process of ours is told to end while the next one waits: what the earlier one has read is answered by it,
/// what comes behind its close by the next one, and nothing is lost between them.
#[test]
fn hands_over_from_an_earlier_process_without_a_lost_request() {
    let gate = std::sync::Arc::new(Gate::default());
    let waiting = gate.clone();
    let backend = BackendServer::start(move |_| Reply::Gate(waiting.clone()));
    let known = [endpoint_json("b0", backend.address, "SERVING")];
    let mut earlier = program().start(&known);
    let next = program().spawn_at(earlier.address, &known);
    next.log.expect(0, WAITS);
    let mut open: Vec<Client> = (0..3)
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
    for client in &mut open {
        assert_eq!(client.answer().expect("an answer that is owed").status(), 200);
    }
    // New connections reach one of the two at any time, or are refused in the moment between.
    next.log.expect(0, SERVES);
    assert_eq!(next.request(&pay_request(3.0)).status(), 200);
    assert!(earlier.child.wait().unwrap().success());
}

/// Each listener waits for itself: one that is held keeps no other from its work.
#[test]
fn serves_at_its_other_address_and_gives_a_held_one_of_a_file_up_after_ten_seconds() {
    let backend = BackendServer::start(|_| ok_reply("done"));
    let (held, free) = (Holder::Listening.hold(), RefusingPort::new());
    let listener = |at: SocketAddr| format!("[[listener]]\naddress = \"{at}\"\n");
    let text =
        listener(held.at) + &listener(free.address()) + CLASSES + &pool("p", &[(backend.address, "a")]);
    let mut proxy = program().spawn_serving(free.address(), &text);
    proxy.log.expect(0, WAITS);
    assert!(proxy.wait_ready().is_some(), "the free one serves");
    let begun = Instant::now();
    let code = proxy.child.wait().unwrap().code();
    assert_eq!(code, Some(1));
    assert!(begun.elapsed() > Duration::from_secs(8), "it waits for a while");
    proxy.log.expect(0, &format!("shaletide: {WAITS}{}: bind: Address already in use", held.at));
}

/// Says who holds the address, its process too, and how often it has tried.
#[test]
fn names_the_holder_of_its_address() {
    let backend = BackendServer::start(|_| ok_reply("done"));
    let named = [
        (Holder::Listening, "held by a listening socket"),
        (Holder::Bound, "held by a socket that is bound and neither listens nor is connected"),
        (Holder::Accepted, "held by a connection in state ESTABLISHED"),
    ];
    for (holder, said) in named {
        let held = holder.hold();
        let proxy = launch_at(held.at, &backend);
        let line = proxy.log.expect(0, said);
        assert!(line.contains("bind: Address already in use (os error 98)"), "{line}");
        assert!(line.contains("; 1 attempts in "), "{line}");
        if holder != Holder::Bound {
            assert!(line.contains(&format!("process {}", std::process::id())), "{line}");
        }
    }
}

/// From the release of the address to the first answer, over 50 starts. By hand: `--ignored --nocapture`.
#[test]
#[ignore = "a measurement"]
fn time_from_release_to_first_answer() {
    let backend = BackendServer::start(|_| ok_reply("done"));
    let mut times: Vec<Duration> = Vec::new();
    for number in 0..50 {
        let held = HOLDERS[number % HOLDERS.len()].hold();
        let mut proxy = launch_at(held.at, &backend);
        std::thread::sleep(Duration::from_millis(200 + 7 * number as u64));
        drop(held);
        let begun = Instant::now();
        let answered = proxy.wait_ready().expect("it serves");
        times.push(answered - begun);
    }
    times.sort();
    println!("from release to first answer, 50 starts: median {:?}, worst {:?}", times[25], times[49]);
    assert!(times[49] < Duration::from_millis(200));
}
