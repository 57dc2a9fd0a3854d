//! Helpers for the tests of several modules.

use crate::{listen, ClassRule, Rules, RulesConfig, Server};
use hyper::Method;
use shaletide_balancer::{Config, Idempotency, Micros, PoolId};
use shaletide_membership::{PoolSpec, Source};
use shaletide_net::{Clock, Driver, PoolSetup, UpstreamConfig};
use shaletide_routing::{RequestFormat, ResponseRules, Route, RouteMatch};
use std::rc::Rc;
use tokio::net::TcpStream;

pub(crate) const DEADLINE: Micros = Micros(6_000_000);

/// Returns a server with `max` connection slots and one class, whose pool has no backends: requests are queued until they
/// time out.
pub(crate) fn server_without_backends(max: usize) -> Rc<Server> {
    let network = UpstreamConfig {
        connect_timeout: DEADLINE,
        idle_timeout: DEADLINE,
        response_stall_timeout: None,
        max_body: 64,
        max_connections: 8,
    };
    let driver = Driver::new(Clock::new(), network);
    let spec = PoolSpec { name: "p".into(), deduplication_domain: None, source: Source::Discovered };
    let mut config = Config::example();
    // Without a backend, a request is rejected after 1 s and well before this time.
    config.classes[0].latency_objective = Micros(2_000_000);
    let setup = PoolSetup { spec, config };
    let pools = driver.setup(Some((&[], &[])), "a", 1, network, vec![setup]).unwrap();
    tokio::task::spawn_local(driver.clone().run_timers());
    Server::new(driver, Rules::new(single_class_rules(pools)), max, 1)
}

fn single_class_rules(pools: Vec<PoolId>) -> RulesConfig {
    let class = ClassRule {
        name: "pay".into(),
        idempotency: Idempotency::NonIdempotent,
        methods: vec![Method::POST],
        deadline: DEADLINE,
    };
    let platform_rules = ResponseRules::platform();
    RulesConfig {
        format: RequestFormat::platform(),
        classes: vec![class],
        tenants: Vec::new(),
        routes: vec![Route {
            name: "r".into(),
            conditions: RouteMatch::default(),
            pools,
            response_rules: platform_rules,
        }],
        zone: "a".into(),
        max_retry_after: DEADLINE,
        retry_after_in_whole_seconds: false,
        head_timeout: DEADLINE,
        body_timeout: DEADLINE,
        min_body_bytes_per_s: 0,
        body_grace: DEADLINE,
        max_buffered_body_bytes: 64,
        max_body: 64,
        records_requests: false,
        max_stop_duration: None,
    }
}

/// Returns a newly accepted connection and the client's end of it.
pub(crate) async fn accepted() -> (TcpStream, std::net::TcpStream) {
    let listener = listen(([127, 0, 0, 1], 0).into()).unwrap();
    let client = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    (listener.accept().await.unwrap().0, client)
}

/// Returns the client's end of a connection that the server has admitted.
pub(crate) async fn connect_client(server: &Rc<Server>) -> std::net::TcpStream {
    let (tcp, client) = accepted().await;
    server.admit(tcp);
    client
}

/// Returns all bytes received until the connection ends.
pub(crate) async fn read_to_end(client: std::net::TcpStream) -> String {
    client.set_nonblocking(true).unwrap();
    let client = TcpStream::from_std(client).unwrap();
    let mut received = Vec::new();
    let mut chunk = [0; 1024];
    loop {
        client.readable().await.unwrap();
        match client.try_read(&mut chunk) {
            Ok(0) => return String::from_utf8(received).unwrap(),
            Ok(n) => received.extend_from_slice(&chunk[..n]),
            Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {}
            Err(e) => panic!("{e} after {}", String::from_utf8_lossy(&received)),
        }
    }
}

/// A complete request with a body.
pub(crate) const PAY_REQUEST: &str =
    "POST /pay/k HTTP/1.1\r\nHost: s\r\nX-Correlation-Id: 1\r\nContent-Length: 4\r\n\r\ncash";
