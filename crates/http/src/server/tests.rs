//! Tests of `server` that need its private items.

use super::*;
use crate::{ClassRule, RulesDef};
use hyper::Method;
use shaletide_membership::{PoolSpec, Source};
use shaletide_net::{Clock, Network, PoolSetup};
use shaletide_routing::{Answers, Form, Match, Route};
use std::io::Write;

const DEADLINE: Micros = Micros(6_000_000);

/// A front with places for so many, whose one class has a pool with no box in it: requests wait for one until their
/// time is up.
fn without_boxes(max: usize) -> Rc<Server> {
    let network = Network {
        connect_timeout: DEADLINE,
        idle_timeout: DEADLINE,
        answer_stall: None,
        max_body: 64,
        most: 8,
    };
    let host = Host::new(Clock::new(), network);
    let spec = PoolSpec { name: "p".into(), repeats: None, source: Source::Listed };
    let mut config = Config::example();
    config.classes[0].aim = Micros(2_000_000); // whoever finds no box is refused well before that, and after 1 s
    let setup = PoolSetup { spec, config };
    let pools = host.setup(Some((&[], &[])), "a", 1, network, vec![setup]).unwrap();
    tokio::task::spawn_local(host.clone().timers());
    let (form, answers) = (Form::platform(), Answers::platform());
    let class = ClassRule {
        name: "pay".into(),
        effect: Effect::Unsafe,
        methods: vec![Method::POST],
        deadline: DEADLINE,
    };
    let rules = RulesDef {
        form,
        classes: vec![class],
        tenants: Vec::new(),
        routes: vec![Route { name: "r".into(), when: Match::default(), pools, answers }],
        zone: "a".into(),
        max_retry_after: DEADLINE,
        whole_seconds: false,
        head_timeout: DEADLINE,
        body_timeout: DEADLINE,
        body_rate: 0,
        body_grace: DEADLINE,
        held_bodies: 64,
        max_body: 64,
        record: false,
        longest_stop: None,
    };
    Server::new(host, Rules::new(rules), max, 1)
}

/// A connection that was just accepted, and its client's end.
async fn accepted() -> (TcpStream, std::net::TcpStream) {
    let listener = listen(([127, 0, 0, 1], 0).into()).unwrap();
    let client = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    (listener.accept().await.unwrap().0, client)
}

/// A client's end of a connection that the front has taken in.
async fn client(server: &Rc<Server>) -> std::net::TcpStream {
    let (tcp, client) = accepted().await;
    server.take_in(tcp);
    client
}

/// All that comes on it until it ends.
async fn rest(client: std::net::TcpStream) -> String {
    client.set_nonblocking(true).unwrap();
    let (client, mut got, mut chunk) = (TcpStream::from_std(client).unwrap(), Vec::new(), [0; 1024]);
    loop {
        client.readable().await.unwrap();
        match client.try_read(&mut chunk) {
            Ok(0) => return String::from_utf8(got).unwrap(),
            Ok(n) => got.extend_from_slice(&chunk[..n]),
            Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {}
            Err(e) => panic!("{e} after {}", String::from_utf8_lossy(&got)),
        }
    }
}

const PAY: &str = "POST /pay/k HTTP/1.1\r\nHost: s\r\nX-Correlation-Id: 1\r\nContent-Length: 4\r\n\r\ncash";

/// Its request comes after it was chosen to make room and before it was told: it is answered, however long that
/// takes, and the connection ends then.
#[tokio::test]
async fn a_request_that_crosses_its_clients_eviction_is_answered() {
    let run = async {
        let (server, parts) = (without_boxes(2), [0, 30]);
        let mut clients = Vec::new();
        for part in parts {
            let mut client = client(&server).await;
            client.write_all(&PAY.as_bytes()[..part]).unwrap();
            clients.push(client);
        }
        for _ in 0..100 {
            tokio::task::yield_now().await; // so much of them is read
        }
        server.clients.borrow().values().for_each(|c| c.since.set(Time(0))); // they are no new ones
        assert!(server.close_longest_idle() && server.close_longest_idle(), "nothing of them is unread");
        for (client, part) in clients.iter_mut().zip(parts) {
            let id = format!("Id: {part}");
            client.write_all(&PAY.replace("Id: 1", &id[..5]).as_bytes()[part..]).unwrap();
        }
        for client in clients {
            let answer = rest(client).await;
            assert!(answer.starts_with("HTTP/1.1 50"), "{answer:?}");
            assert!(answer.contains("connection: close"), "{answer:?}");
        }
    };
    tokio::task::LocalSet::new().run_until(run).await;
}

/// The loop comes round late, to a request and to the time-out of its head at once: the request is taken.
#[tokio::test]
async fn a_request_that_is_there_goes_before_the_time_out_of_its_head() {
    for asked in [0, 1] {
        let (tcp, mut client) = accepted().await;
        let stream = Stream::new(tcp);
        let calls = Cell::new(0);
        let service = service_fn(|_| async {
            calls.set(calls.get() + 1);
            Ok::<_, Infallible>(plain(StatusCode::OK, "x"))
        });
        let patience = Duration::from_millis(300);
        let mut builder = http1::Builder::new();
        builder.timer(Timer).header_read_timeout(patience);
        let mut conn = pin!(builder.serve_connection(stream.clone(), service));
        (0..asked).for_each(|_| client.write_all(PAY.as_bytes()).unwrap());
        for _ in 0..100 {
            let poll = std::future::poll_fn(|cx| Poll::Ready(conn.as_mut().poll(cx).is_pending()));
            assert!(poll.await, "it has ended");
            tokio::task::yield_now().await;
        }
        assert_eq!(calls.get(), asked);
        client.write_all(PAY.as_bytes()).unwrap();
        std::thread::sleep(patience * 2); // the loop stands still
        assert!(conn.await.is_err(), "nothing more comes");
        assert_eq!(calls.get(), asked + 1, "after {asked}");
    }
}

/// Its body waits for room, which another holds, as the program stops: it is answered by the time at which all is, and
/// not only once its body would have been late.
#[tokio::test]
async fn a_body_that_waits_for_room_is_answered_before_the_program_ends() {
    let run = async {
        let server = without_boxes(2);
        let holder = server.bodies.borrow_mut().begin(server.host.clock.now(), 64);
        server.bodies.borrow_mut().let_in();
        server.bodies.borrow_mut().taken(holder); // its request waits for an answer
        let mut client = client(&server).await;
        server.stopping.set(Some(server.host.clock.now() + Micros(300_000)));
        client.write_all(PAY.as_bytes()).unwrap();
        let late = tokio::time::sleep(span(DEADLINE) / 2);
        tokio::select! {
            answer = rest(client) => assert!(answer.starts_with("HTTP/1.1 503"), "{answer:?}"),
            () = late => panic!("it still waits"),
        }
        server.bodies.borrow_mut().over(server.host.clock.now(), holder);
    };
    tokio::task::LocalSet::new().run_until(run).await;
}

/// A connection at rest is closed by what `serve` does about it. What comes between that and the close is not read any
/// more, on a new connection or on one that was answered, and whether or not the event loop has heard of it.
#[tokio::test]
async fn what_crosses_the_close_of_a_resting_connection_is_not_read() {
    for (asked, heard) in [(0, false), (0, true), (1, false), (1, true)] {
        let (tcp, mut client) = accepted().await;
        let stream = Stream::new(tcp);
        let calls = Cell::new(0);
        let service = service_fn(|_| async {
            calls.set(calls.get() + 1);
            stream.mark_idle();
            Ok::<_, Infallible>(plain(StatusCode::OK, "x"))
        });
        let mut builder = http1::Builder::new();
        builder.timer(Timer).header_read_timeout(span(DEADLINE));
        let mut conn = pin!(builder.serve_connection(stream.clone(), service));
        (0..asked).for_each(|_| client.write_all(PAY.as_bytes()).unwrap());
        for _ in 0..100 {
            let poll = std::future::poll_fn(|cx| Poll::Ready(conn.as_mut().poll(cx).is_pending()));
            assert!(poll.await, "it has ended");
            tokio::task::yield_now().await;
        }
        assert_eq!((calls.get(), stream.stirred()), (asked, false), "it is at rest");
        conn.as_mut().graceful_shutdown();
        client.write_all(PAY.as_bytes()).unwrap();
        for _ in 0..if heard { 100 } else { 0 } {
            tokio::task::yield_now().await;
        }
        conn.await.unwrap();
        assert_eq!((calls.get(), stream.unread()), (asked, true), "after {asked}");
    }
}

#[tokio::test]
async fn listeners_take_turns() {
    let listeners = [(); 2].map(|()| listen(([127, 0, 0, 1], 0).into()).unwrap());
    let [many, few] = listeners.each_ref().map(|listener| listener.local_addr().unwrap());
    let waiting = [many, many, many, few].map(|at| std::net::TcpStream::connect(at).unwrap());
    let mut taken = Vec::new();
    for count in 0..2 {
        taken.push(any(&listeners, count).await.unwrap().0.local_addr().unwrap());
    }
    assert_eq!(taken, [many, few]);
    drop(waiting);
}
