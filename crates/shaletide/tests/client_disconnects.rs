//! Requests whose clients disconnect, by a close or a reset, with and without excess bytes behind the request: the
//! request is not sent to a backend afterwards, even when what it waited for becomes available.

mod harness;

use harness::*;
use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{mpsc, Arc};
use std::time::{Duration, Instant};

/// The longest time after its client's disconnect in which a request may still be sent.
const DISCONNECT_GRACE: Duration = Duration::from_millis(300);
/// The number of clients of a case, which disconnect in one burst.
const BURST: usize = 30;

/// How a client disconnects.
#[derive(Clone, Copy, Debug)]
enum Disconnect {
    Close,
    Reset,
}

/// The excess bytes behind a request before its client disconnects: none, a few bytes, or a whole request.
const EXCESS_BYTES: [&str; 3] =
    ["", "\r\n\r\nx", "GET /read/k1 HTTP/1.1\r\nHost: s\r\nX-Correlation-Id: b\r\n\r\n"];

fn disconnect(client: Client, how: Disconnect) {
    let tcp: TcpStream = client.0.into_inner();
    if let Disconnect::Reset = how {
        socket2::SockRef::from(&tcp).set_linger(Some(Duration::ZERO)).unwrap();
    }
    drop(tcp);
}

/// Sends requests to the proxy until it has read everything that was written to it before.
fn wait_until_read(proxy: &Proxy) {
    for _ in 0..3 {
        assert_eq!(proxy.request("GET /-/ready HTTP/1.1\r\nHost: s\r\n\r\n").status(), 200);
    }
}

/// Returns the id of a request, as its backend receives it.
fn owned_id(request: &str) -> String {
    id_of(request).into()
}

/// Reads the backend's requests up to the one with the id `last`. Returns, for each whose id is in `closed_at`, the time
/// since its client disconnected.
fn sent_after_disconnect(
    backend: &BackendServer, closed_at: &HashMap<String, Instant>, last: &str,
) -> Vec<Duration> {
    let mut late = Vec::new();
    loop {
        let message = backend.next_request();
        let id = message.header("x-correlation-id").unwrap_or_default().to_string();
        if id == last {
            return late;
        }
        late.extend(closed_at.get(&id).map(Instant::elapsed));
    }
}

/// Checks that no request of a disconnected client was sent.
fn check_none_sent(scenario: &str, cases: usize, late: &[Duration]) {
    let longest = late.iter().max().copied().unwrap_or_default();
    println!(
        "{scenario}: {} of {cases} sent after their clients disconnected, the last after {longest:?}",
        late.len()
    );
    assert!(late.is_empty(), "{scenario}: {} of {cases} were sent, the last after {longest:?}", late.len());
}

/// Sends the proxy an empty endpoint list, so that it queues its requests. Returns the sender for the response to its next
/// call of discovery, which may bring a backend.
fn send_empty_list(proxy: &Proxy) -> mpsc::Sender<(u16, String)> {
    let (_, first) = proxy.discovery.next_call();
    first.send((200, endpoint_list_json(5, true, &[]))).unwrap();
    proxy.discovery.next_call().1
}

/// Sends a request on a new connection, a non-idempotent one for even `n` and a safe one for odd `n`. Returns the client and
/// the request's id.
fn send_request(proxy: &Proxy, n: usize) -> (Client, String) {
    let request = if n % 2 == 0 { pay_request(3.0) } else { read_request(3.0) };
    let mut client = proxy.client();
    client.send(&request);
    (client, owned_id(&request))
}

/// Disconnects all clients; returns the time of each disconnect by the request's id.
fn disconnect_all(clients: Vec<(Client, String)>, how: Disconnect) -> HashMap<String, Instant> {
    let disconnect_one = |(client, id)| {
        disconnect(client, how);
        (id, Instant::now())
    };
    clients.into_iter().map(disconnect_one).collect()
}

/// Requests are queued until a backend is discovered, which happens 0.3 s after their clients disconnected.
fn check_queued_requests(stopping: bool) {
    let (mut late, mut cases) = (Vec::new(), 0);
    for excess in EXCESS_BYTES {
        for how in [Disconnect::Close, Disconnect::Reset] {
            let backend = BackendServer::start(|_| ok_reply("x"));
            let proxy = Proxy::start(&[]);
            let list = send_empty_list(&proxy);
            let mut clients = Vec::new();
            for n in 0..BURST {
                clients.push(send_request(&proxy, n));
            }
            // One client stays connected. Its request was queued last, so the backend receives it after all others.
            let (mut connected, last) = (proxy.client(), read_request(3.0));
            connected.send(&last);
            wait_until_read(&proxy);
            if stopping {
                proxy.signal("TERM");
                proxy.log.expect(0, "stopping");
            }
            for (client, _) in &mut clients {
                client.send(excess);
            }
            if !stopping {
                wait_until_read(&proxy);
            }
            let closed_at = disconnect_all(clients, how);
            std::thread::sleep(DISCONNECT_GRACE);
            list.send((200, endpoint_list_json(6, true, &[endpoint_json("b0", backend.address, "SERVING")])))
                .unwrap();
            assert_eq!(connected.answer().expect("a response").status(), 200, "{how:?} {excess:?}");
            late.extend(sent_after_disconnect(&backend, &closed_at, &owned_id(&last)));
            std::thread::sleep(Duration::from_millis(20)); // a request in the excess bytes arrives by now
            late.extend(std::iter::from_fn(|| match backend.events.try_recv() {
                Ok(BackendEvent::Request(message)) => {
                    message.header("x-correlation-id").and_then(|id| closed_at.get(id)).map(Instant::elapsed)
                }
                _ => None,
            }));
            cases += BURST;
        }
    }
    check_none_sent(if stopping { "queued, stopping" } else { "queued" }, cases, &late);
}

#[test]
fn queued_request_is_not_sent_after_client_disconnects() {
    check_queued_requests(false);
}

#[test]
fn queued_request_is_not_sent_after_client_disconnects_during_shutdown() {
    check_queued_requests(true);
}

/// Several hundred clients disconnect at once while all connection slots are taken. Some hold a slot; the others wait in
/// the accept queue, where their requests have not been read. A backend is discovered 0.3 s later, and only then are slots
/// freed.
#[test]
fn requests_of_a_disconnected_burst_in_slots_and_accept_queue_are_not_sent() {
    let (mut late, mut cases) = (Vec::new(), 0);
    for how in [Disconnect::Close, Disconnect::Reset] {
        let backend = BackendServer::start(|_| ok_reply("x"));
        let proxy = Proxy::start_with_descriptor_limit(&[], 256, SETTINGS, 256);
        let list = send_empty_list(&proxy);
        let (mut connected, mut leaving) = (Vec::new(), Vec::new());
        for n in 0..400 {
            if n < 120 && n % 8 > 0 { &mut connected } else { &mut leaving }.push(send_request(&proxy, n));
        }
        let closed_at = disconnect_all(leaving, how);
        std::thread::sleep(DISCONNECT_GRACE);
        list.send((200, endpoint_list_json(6, true, &[endpoint_json("b0", backend.address, "SERVING")])))
            .unwrap();
        for (client, _) in &mut connected {
            assert!(client.answer().is_some(), "{how:?}: a connected client got no response");
        }
        let last = read_request(3.0);
        assert_eq!(proxy.request(&last).status(), 200);
        late.extend(sent_after_disconnect(&backend, &closed_at, &owned_id(&last)));
        cases += closed_at.len();
    }
    check_none_sent("burst", cases, &late);
}

/// The clients disconnect during the turn of the event loop in which their requests are read.
#[test]
fn requests_of_a_burst_that_disconnects_while_it_is_read_are_not_sent() {
    let (mut late, mut cases) = (Vec::new(), 0);
    for how in [Disconnect::Close, Disconnect::Reset, Disconnect::Close, Disconnect::Reset] {
        let backend = BackendServer::start(|_| ok_reply("x"));
        let proxy = Proxy::start(&[]);
        let list = send_empty_list(&proxy);
        proxy.signal("STOP");
        let mut clients = Vec::new();
        for n in 0..300 {
            clients.push(send_request(&proxy, n));
        }
        proxy.signal("CONT");
        let closed_at = disconnect_all(clients, how);
        std::thread::sleep(DISCONNECT_GRACE);
        list.send((200, endpoint_list_json(6, true, &[endpoint_json("b0", backend.address, "SERVING")])))
            .unwrap();
        let _hold = proxy.discovery.next_call(); // by now the list is taken in
        let last = read_request(3.0);
        assert_eq!(proxy.request(&last).status(), 200);
        late.extend(sent_after_disconnect(&backend, &closed_at, &owned_id(&last)));
        cases += closed_at.len();
    }
    check_none_sent("disconnected while being read", cases, &late);
}

/// The client disconnects while the first attempt is in flight at a backend that does not respond. The attempt is cancelled
/// within [`DISCONNECT_GRACE`], and there is no second attempt when another backend is discovered.
#[test]
fn request_is_not_retried_after_client_disconnects() {
    let (mut late, mut cases) = (Vec::new(), 0);
    for excess in EXCESS_BYTES {
        for how in [Disconnect::Close, Disconnect::Reset] {
            let silent = BackendServer::start(|_| Reply::Silence);
            let good = BackendServer::start(|_| ok_reply("x"));
            let proxy = Proxy::start(&[endpoint_json("b0", silent.address, "SERVING")]);
            let mut clients = Vec::new();
            for _ in 0..4 {
                let request = pay_request(3.0);
                let mut client = proxy.client();
                client.send(&request);
                silent.next_request();
                client.send(excess);
                clients.push((client, owned_id(&request)));
            }
            wait_until_read(&proxy);
            let (_, list) = proxy.discovery.next_call();
            let closed_at = disconnect_all(clients, how);
            let start = Instant::now();
            (0..4).for_each(|_| silent.wait_closed()); // each attempt is cancelled
            assert!(
                start.elapsed() < DISCONNECT_GRACE,
                "{how:?} {excess:?}: attempts cancelled after {:?}",
                start.elapsed()
            );
            list.send((200, endpoint_list_json(6, true, &[endpoint_json("b1", good.address, "SERVING")])))
                .unwrap();
            let _hold = proxy.discovery.next_call(); // by now the list is taken in
            let last = read_request(3.0);
            assert_eq!(proxy.request(&last).status(), 200);
            late.extend(sent_after_disconnect(&good, &closed_at, &owned_id(&last)));
            assert_eq!(silent.request_count(), 4);
            cases += 4;
        }
    }
    check_none_sent("attempt in flight", cases, &late);
}

/// The client disconnects before its request is read: the program finds request and close together, on a new connection or
/// on a kept-alive one.
#[test]
fn request_that_is_read_with_its_clients_disconnect_is_not_sent() {
    let (mut late, mut cases) = (Vec::new(), 0);
    for excess in EXCESS_BYTES {
        for how in [Disconnect::Close, Disconnect::Reset] {
            let backend = BackendServer::start(|_| ok_reply("x"));
            let proxy = Proxy::start(&[endpoint_json("b0", backend.address, "SERVING")]);
            let mut kept: Vec<Client> = (0..10).map(|_| proxy.client()).collect();
            for client in &mut kept {
                assert_eq!(client.request("GET /-/ready HTTP/1.1\r\nHost: s\r\n\r\n").status(), 200);
            }
            proxy.signal("STOP");
            kept.extend((0..BURST - 10).map(|_| proxy.client()));
            let mut closed_at = HashMap::new();
            for (n, mut client) in kept.into_iter().enumerate() {
                let request = if n % 2 == 0 { pay_request(3.0) } else { read_request(3.0) };
                client.send(&(request.clone() + excess));
                disconnect(client, how);
                closed_at.insert(owned_id(&request), Instant::now());
            }
            std::thread::sleep(DISCONNECT_GRACE);
            proxy.signal("CONT");
            let last = read_request(3.0);
            assert_eq!(proxy.request(&last).status(), 200);
            late.extend(sent_after_disconnect(&backend, &closed_at, &owned_id(&last)));
            cases += BURST;
        }
    }
    check_none_sent("disconnected before it was read", cases, &late);
}

/// The body waits for room within `held_bodies`, which is freed 0.3 s after the client disconnected.
#[test]
fn body_that_waits_for_admission_is_dropped_after_client_disconnects() {
    let (mut late, mut cases) = (Vec::new(), 0);
    for excess in EXCESS_BYTES {
        for how in [Disconnect::Close, Disconnect::Reset] {
            let gate = Arc::new(Gate::default());
            let response_gate = gate.clone();
            let backend =
                BackendServer::start(
                    move |n| if n == 0 { Reply::Gate(response_gate.clone()) } else { ok_reply("x") },
                );
            let limits = "[limits]\nheld_bodies = \"64KiB\"\n";
            let proxy =
                program().serve(&format!("{limits}{CLASSES}{}", pool("p", &[(backend.address, "a")])));
            let post = |length: usize| {
                let request = request("/pay/k", 3.0, "")
                    .replace("Content-Length: 4", &format!("Content-Length: {length}"));
                request.replace("cash", &"x".repeat(length))
            };
            // An admitted body keeps its room until its request is answered.
            let mut admitted = proxy.client();
            admitted.send(&post(60_000));
            backend.next_request();
            let mut closed_at = HashMap::new();
            for _ in 0..10 {
                let request = post(9_000);
                let mut client = proxy.client();
                client.send(&(request.clone() + excess));
                disconnect(client, how);
                closed_at.insert(owned_id(&request), Instant::now());
            }
            std::thread::sleep(DISCONNECT_GRACE);
            gate.open();
            assert_eq!(admitted.answer().expect("a response").body, b"gated");
            let last = post(9_000);
            assert_eq!(proxy.request(&last).status(), 200);
            late.extend(sent_after_disconnect(&backend, &closed_at, &owned_id(&last)));
            cases += 10;
        }
    }
    check_none_sent("body waits for admission", cases, &late);
}

/// The connection to the backend is established more than 0.3 s after the clients disconnected. It is used for the request
/// of a client that stayed connected.
#[test]
fn late_connection_is_not_used_for_disconnected_clients() {
    let (mut late, mut cases) = (Vec::new(), 0);
    for excess in EXCESS_BYTES {
        for how in [Disconnect::Close, Disconnect::Reset] {
            // The listener's accept queue is full, so the kernel retries any further connection after a second.
            let listener = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
            listener.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
            listener.listen(0).unwrap();
            let listener: TcpListener = listener.into();
            let address = listener.local_addr().unwrap();
            let connect_timeout = Duration::from_millis(100);
            let _queued: Vec<TcpStream> =
                std::iter::from_fn(|| TcpStream::connect_timeout(&address, connect_timeout).ok()).collect();
            let settings = SETTINGS.replace("\"dial_timeout_us\":300000", "\"dial_timeout_us\":2900000");
            let proxy =
                Proxy::start_with_settings(&[endpoint_json("b0", address, "SERVING")], 1024, &settings);
            let mut clients = Vec::new();
            for n in 0..10 {
                clients.push(send_request(&proxy, n));
            }
            let (mut connected, last) = (proxy.client(), pay_request(3.0));
            connected.send(&last);
            wait_until_read(&proxy);
            clients.iter_mut().for_each(|(client, _)| client.send(excess));
            wait_until_read(&proxy);
            let closed_at = disconnect_all(clients, how);
            std::thread::sleep(DISCONNECT_GRACE);
            let (sender, arrivals) = mpsc::channel();
            std::thread::spawn(move || {
                for tcp in listener.incoming().flatten() {
                    let sender = sender.clone();
                    std::thread::spawn(move || {
                        let mut reader = BufReader::new(tcp);
                        while let Some(message) = Message::read(&mut reader) {
                            let id = message.header("x-correlation-id").unwrap_or_default().to_string();
                            let _ = sender.send((id, Instant::now()));
                            let response = "HTTP/1.1 200 X\r\nContent-Length: 1\r\n\r\nx";
                            let _ = reader.get_mut().write_all(response.as_bytes());
                        }
                    });
                }
            });
            assert_eq!(connected.answer().expect("a response").status(), 200, "{how:?} {excess:?}");
            std::thread::sleep(DISCONNECT_GRACE); // the other connections are established as this one was
            late.extend(
                arrivals.try_iter().filter_map(|(id, at)| closed_at.get(&id).map(|since| at - *since)),
            );
            cases += 10;
        }
    }
    check_none_sent("late connection", cases, &late);
}

/// Excess bytes behind a request are discarded up to a limit. Beyond it the connection is closed and the attempt cancelled.
#[test]
fn client_that_sends_endless_excess_bytes_is_disconnected() {
    let silent = BackendServer::start(|_| Reply::Silence);
    let proxy = Proxy::start(&[endpoint_json("b0", silent.address, "SERVING")]);
    let mut client = proxy.client();
    client.send(&pay_request(3.0));
    silent.next_request();
    let mut stream = client.0.get_ref().try_clone().unwrap();
    let start = Instant::now();
    std::thread::spawn(move || while stream.write_all(&[b'x'; 4096]).is_ok() {});
    silent.wait_closed();
    assert!(start.elapsed() < Duration::from_secs(2), "cancelled before the deadline: {:?}", start.elapsed());
    assert_eq!(silent.request_count(), 1);
    drop(client);
}
