//! Clients that have left: what a request waits for may come, but it is sent nowhere any more. By the close of their
//! connection or by its reset, with and without further bytes behind the request.

mod harness;

use harness::*;
use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{mpsc, Arc};
use std::time::{Duration, Instant};

/// So long after its client left a request may still go out, and no longer.
const LEFT: Duration = Duration::from_millis(300);
/// The clients of one case: they leave in one burst.
const BURST: usize = 30;

/// How a client leaves.
#[derive(Clone, Copy, Debug)]
enum Disconnect {
    Close,
    Reset,
}

/// What comes behind a request before its client leaves: nothing, a few bytes, or a whole request.
const BEHIND: [&str; 3] =
    ["", "\r\n\r\nx", "GET /read/k1 HTTP/1.1\r\nHost: s\r\nX-Correlation-Id: b\r\n\r\n"];

fn disconnect(client: Client, how: Disconnect) {
    let tcp: TcpStream = client.0.into_inner();
    if let Disconnect::Reset = how {
        socket2::SockRef::from(&tcp).set_linger(Some(Duration::ZERO)).unwrap();
    }
    drop(tcp);
}

/// The program has come round to all that was written to it before.
fn come_round(proxy: &Proxy) {
    for _ in 0..3 {
        assert_eq!(proxy.request("GET /-/ready HTTP/1.1\r\nHost: s\r\n\r\n").status(), 200);
    }
}

/// The id of a request, as a backend sees it.
fn id(request: &str) -> String {
    id_of(request).into()
}

/// Of these requests, by id, the ones that came to the backend before one that has that last id, each with the time since
/// its client left.
fn sent(backend: &BackendServer, left: &HashMap<String, Instant>, last: &str) -> Vec<Duration> {
    let mut late = Vec::new();
    loop {
        let message = backend.next_request();
        let id = message.header("x-correlation-id").unwrap_or_default().to_string();
        if id == last {
            return late;
        }
        late.extend(left.get(&id).map(Instant::elapsed));
    }
}

/// Nobody's request was sent.
fn none(what: &str, cases: usize, late: &[Duration]) {
    let longest = late.iter().max().copied().unwrap_or_default();
    println!("{what}: {} of {cases} sent after their clients left, the last after {longest:?}", late.len());
    assert!(late.is_empty(), "{what}: {} of {cases} were sent, the last after {longest:?}", late.len());
}

/// The proxy is told that there is no backend: what it takes is held until the answer to the call that is out brings one.
fn without_boxes(proxy: &Proxy) -> mpsc::Sender<(u16, String)> {
    let (_, first) = proxy.discovery.next_call();
    first.send((200, endpoint_list_json(5, true, &[]))).unwrap();
    proxy.discovery.next_call().1
}

/// A client that asks, by turns for something unsafe and for something safe, and the id of its request.
fn asks(proxy: &Proxy, n: usize) -> (Client, String) {
    let request = if n % 2 == 0 { pay_request(3.0) } else { read_request(3.0) };
    let mut client = proxy.client();
    client.send(&request);
    (client, id(&request))
}

/// They leave; when, by their requests' ids.
fn all_leave(clients: Vec<(Client, String)>, how: Disconnect) -> HashMap<String, Instant> {
    let leaves = |(client, id)| {
        disconnect(client, how);
        (id, Instant::now())
    };
    clients.into_iter().map(leaves).collect()
}

/// Held until there is a backend, and the backend comes 0.3 s after they left.
fn held(stopping: bool) {
    let (mut late, mut cases) = (Vec::new(), 0);
    for behind in BEHIND {
        for how in [Disconnect::Close, Disconnect::Reset] {
            let backend = BackendServer::start(|_| ok_reply("x"));
            let proxy = Proxy::start(&[]);
            let news = without_boxes(&proxy);
            let mut clients = Vec::new();
            for n in 0..BURST {
                clients.push(asks(&proxy, n));
            }
            // One stays: what comes after it at the backend has come after all of them.
            let (mut stays, last) = (proxy.client(), read_request(3.0));
            stays.send(&last);
            come_round(&proxy);
            if stopping {
                proxy.signal("TERM");
                proxy.log.expect(0, "stopping");
            }
            for (client, _) in &mut clients {
                client.send(behind);
            }
            if !stopping {
                come_round(&proxy);
            }
            let left = all_leave(clients, how);
            std::thread::sleep(LEFT);
            news.send((200, endpoint_list_json(6, true, &[endpoint_json("b0", backend.address, "SERVING")])))
                .unwrap();
            assert_eq!(stays.answer().expect("its answer").status(), 200, "{how:?} {behind:?}");
            late.extend(sent(&backend, &left, &id(&last)));
            std::thread::sleep(Duration::from_millis(20)); // what was behind it comes now
            late.extend(std::iter::from_fn(|| match backend.events.try_recv() {
                Ok(BackendEvent::Request(message)) => {
                    message.header("x-correlation-id").and_then(|id| left.get(id)).map(Instant::elapsed)
                }
                _ => None,
            }));
            cases += BURST;
        }
    }
    none(if stopping { "held, stopping" } else { "held" }, cases, &late);
}

#[test]
fn queued_request_is_not_sent_after_client_disconnects() {
    held(false);
}

#[test]
fn queued_request_is_not_sent_after_client_disconnects_during_shutdown() {
    held(true);
}

/// Several hundred leave at once: from places that are all taken, and from the kernel's queue behind them, where their
/// requests lie and were not read yet. The backend comes 0.3 s later, and the queue moves on only then.
#[test]
fn burst_that_disconnects_from_slots_and_queue_is_not_sent() {
    let (mut late, mut cases) = (Vec::new(), 0);
    for how in [Disconnect::Close, Disconnect::Reset] {
        let backend = BackendServer::start(|_| ok_reply("x"));
        let proxy = Proxy::start_with_descriptor_limit(&[], 256, SETTINGS, 256);
        let news = without_boxes(&proxy);
        let (mut stay, mut go) = (Vec::new(), Vec::new());
        for n in 0..400 {
            if n < 120 && n % 8 > 0 { &mut stay } else { &mut go }.push(asks(&proxy, n));
        }
        let left = all_leave(go, how);
        std::thread::sleep(LEFT);
        news.send((200, endpoint_list_json(6, true, &[endpoint_json("b0", backend.address, "SERVING")])))
            .unwrap();
        for (client, _) in &mut stay {
            assert!(client.answer().is_some(), "{how:?}: one who stayed has no answer");
        }
        let last = read_request(3.0);
        assert_eq!(proxy.request(&last).status(), 200);
        late.extend(sent(&backend, &left, &id(&last)));
        cases += left.len();
    }
    none("burst", cases, &late);
}

/// They leave while the program is busy with the turn in which it finds all of their requests.
#[test]
fn burst_that_disconnects_while_it_is_read_is_not_sent() {
    let (mut late, mut cases) = (Vec::new(), 0);
    for how in [Disconnect::Close, Disconnect::Reset, Disconnect::Close, Disconnect::Reset] {
        let backend = BackendServer::start(|_| ok_reply("x"));
        let proxy = Proxy::start(&[]);
        let news = without_boxes(&proxy);
        proxy.signal("STOP");
        let mut clients = Vec::new();
        for n in 0..300 {
            clients.push(asks(&proxy, n));
        }
        proxy.signal("CONT");
        let left = all_leave(clients, how);
        std::thread::sleep(LEFT);
        news.send((200, endpoint_list_json(6, true, &[endpoint_json("b0", backend.address, "SERVING")])))
            .unwrap();
        let _hold = proxy.discovery.next_call(); // by now the list is taken in
        let last = read_request(3.0);
        assert_eq!(proxy.request(&last).status(), 200);
        late.extend(sent(&backend, &left, &id(&last)));
        cases += left.len();
    }
    none("left as it was read", cases, &late);
}

/// Its first attempt is out, and is rejected 0.3 s after the client left: it is given up before, and there is no
/// second one.
#[test]
fn request_is_not_retried_after_client_disconnects() {
    let (mut late, mut cases) = (Vec::new(), 0);
    for behind in BEHIND {
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
                client.send(behind);
                clients.push((client, id(&request)));
            }
            come_round(&proxy);
            let (_, news) = proxy.discovery.next_call();
            let left = all_leave(clients, how);
            let start = Instant::now();
            (0..4).for_each(|_| silent.wait_closed()); // each attempt was given up
            assert!(
                start.elapsed() < LEFT,
                "{how:?} {behind:?}: attempts given up after {:?}",
                start.elapsed()
            );
            news.send((200, endpoint_list_json(6, true, &[endpoint_json("b1", good.address, "SERVING")])))
                .unwrap();
            let _hold = proxy.discovery.next_call(); // by now the list is taken in
            let last = read_request(3.0);
            assert_eq!(proxy.request(&last).status(), 200);
            late.extend(sent(&good, &left, &id(&last)));
            assert_eq!(silent.request_count(), 4);
            cases += 4;
        }
    }
    none("attempt out", cases, &late);
}

/// It left before its request was read: both stood in the kernel, on a new connection or on one that was kept.
#[test]
fn request_that_arrives_with_its_clients_close_is_not_sent() {
    let (mut late, mut cases) = (Vec::new(), 0);
    for behind in BEHIND {
        for how in [Disconnect::Close, Disconnect::Reset] {
            let backend = BackendServer::start(|_| ok_reply("x"));
            let proxy = Proxy::start(&[endpoint_json("b0", backend.address, "SERVING")]);
            let mut kept: Vec<Client> = (0..10).map(|_| proxy.client()).collect();
            for client in &mut kept {
                assert_eq!(client.request("GET /-/ready HTTP/1.1\r\nHost: s\r\n\r\n").status(), 200);
            }
            proxy.signal("STOP");
            kept.extend((0..BURST - 10).map(|_| proxy.client()));
            let mut left = HashMap::new();
            for (n, mut client) in kept.into_iter().enumerate() {
                let request = if n % 2 == 0 { pay_request(3.0) } else { read_request(3.0) };
                client.send(&(request.clone() + behind));
                disconnect(client, how);
                left.insert(id(&request), Instant::now());
            }
            std::thread::sleep(LEFT);
            proxy.signal("CONT");
            let last = read_request(3.0);
            assert_eq!(proxy.request(&last).status(), 200);
            late.extend(sent(&backend, &left, &id(&last)));
            cases += BURST;
        }
    }
    none("left before it was read", cases, &late);
}

/// Its body waited for room, which came 0.3 s after it left.
#[test]
fn body_that_waits_for_admission_is_dropped_after_client_disconnects() {
    let (mut late, mut cases) = (Vec::new(), 0);
    for behind in BEHIND {
        for how in [Disconnect::Close, Disconnect::Reset] {
            let gate = Arc::new(Gate::default());
            let wait = gate.clone();
            let backend =
                BackendServer::start(move |n| if n == 0 { Reply::Gate(wait.clone()) } else { ok_reply("x") });
            let limits = "[limits]\nheld_bodies = \"64KiB\"\n";
            let proxy =
                program().serve(&format!("{limits}{CLASSES}{}", pool("p", &[(backend.address, "a")])));
            let post = |length: usize| {
                let request = request("/pay/k", 3.0, "")
                    .replace("Content-Length: 4", &format!("Content-Length: {length}"));
                request.replace("cash", &"x".repeat(length))
            };
            // What was taken keeps its room until it has its answer.
            let mut taken = proxy.client();
            taken.send(&post(60_000));
            backend.next_request();
            let mut left = HashMap::new();
            for _ in 0..10 {
                let request = post(9_000);
                let mut client = proxy.client();
                client.send(&(request.clone() + behind));
                disconnect(client, how);
                left.insert(id(&request), Instant::now());
            }
            std::thread::sleep(LEFT);
            gate.open();
            assert_eq!(taken.answer().expect("its answer").body, b"gated");
            let last = post(9_000);
            assert_eq!(proxy.request(&last).status(), 200);
            late.extend(sent(&backend, &left, &id(&last)));
            cases += 10;
        }
    }
    none("body waits", cases, &late);
}

/// The connection for it comes up 0.3 s after it left, and later: it takes the request of one who stayed.
#[test]
fn late_connection_is_not_used_for_disconnected_clients() {
    let (mut late, mut cases) = (Vec::new(), 0);
    for behind in BEHIND {
        for how in [Disconnect::Close, Disconnect::Reset] {
            // As its queue is full, what else is to be connected is tried again by the kernel after a second.
            let listener = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
            listener.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
            listener.listen(0).unwrap();
            let listener: TcpListener = listener.into();
            let address = listener.local_addr().unwrap();
            let short = Duration::from_millis(100);
            let _full: Vec<TcpStream> =
                std::iter::from_fn(|| TcpStream::connect_timeout(&address, short).ok()).collect();
            let settings = SETTINGS.replace("\"dial_timeout_us\":300000", "\"dial_timeout_us\":2900000");
            let proxy =
                Proxy::start_with_settings(&[endpoint_json("b0", address, "SERVING")], 1024, &settings);
            let mut clients = Vec::new();
            for n in 0..10 {
                clients.push(asks(&proxy, n));
            }
            let (mut stays, last) = (proxy.client(), pay_request(3.0));
            stays.send(&last);
            come_round(&proxy);
            clients.iter_mut().for_each(|(client, _)| client.send(behind));
            come_round(&proxy);
            let left = all_leave(clients, how);
            std::thread::sleep(LEFT);
            let (tell, came) = mpsc::channel();
            std::thread::spawn(move || {
                for tcp in listener.incoming().flatten() {
                    let tell = tell.clone();
                    std::thread::spawn(move || {
                        let mut reader = BufReader::new(tcp);
                        while let Some(message) = Message::read(&mut reader) {
                            let id = message.header("x-correlation-id").unwrap_or_default().to_string();
                            let _ = tell.send((id, Instant::now()));
                            let answer = "HTTP/1.1 200 X\r\nContent-Length: 1\r\n\r\nx";
                            let _ = reader.get_mut().write_all(answer.as_bytes());
                        }
                    });
                }
            });
            assert_eq!(stays.answer().expect("its answer").status(), 200, "{how:?} {behind:?}");
            std::thread::sleep(LEFT); // the other connections come up as this one did
            late.extend(came.try_iter().filter_map(|(id, at)| left.get(&id).map(|gone| at - *gone)));
            cases += 10;
        }
    }
    none("connection late", cases, &late);
}

/// What comes behind a request is thrown away, but not without end: that is no client, and its attempt is given up.
#[test]
fn client_that_sends_endless_excess_bytes_is_disconnected() {
    let silent = BackendServer::start(|_| Reply::Silence);
    let proxy = Proxy::start(&[endpoint_json("b0", silent.address, "SERVING")]);
    let mut client = proxy.client();
    client.send(&pay_request(3.0));
    silent.next_request();
    let mut out = client.0.get_ref().try_clone().unwrap();
    let start = Instant::now();
    std::thread::spawn(move || while out.write_all(&[b'x'; 4096]).is_ok() {});
    silent.wait_closed();
    assert!(start.elapsed() < Duration::from_secs(2), "not at its deadline: {:?}", start.elapsed());
    assert_eq!(silent.request_count(), 1);
    drop(client);
}
