//! Tests of `driver` that need its private items.

mod client_disconnected;

use super::*;
use crate::exchange::{ExchangeFuture, ExchangeOutcome, ExchangeSpec, UpstreamRequest};
use crate::recording::RequestIdentity;
use crate::stream::{PeerWatch, Stream};
use crate::trace::RequestTrace;
use hyper::rt::Write as _;
use shaletide_balancer::{Arrival, Config};
use shaletide_engine::RequestSpec;
use shaletide_membership::{Endpoint, List, PoolSpec, Source};
use shaletide_routing::FinalDecision;
use shaletide_types::*;
use std::time::Duration;

/// A request whose exchange writes nothing and never ends.
struct NeverWritten;

impl UpstreamRequest for NeverWritten {
    fn client(&self) -> Option<&PeerWatch> {
        None
    }
    fn run_attempt(self: Rc<Self>, _: ExchangeSpec) -> ExchangeFuture {
        Box::pin(std::future::pending())
    }
}

/// How long a [`BlockingCallbacks`] request blocks the thread in each callback.
const BLOCK_TIME: Duration = Duration::from_millis(100);

/// A request that blocks the thread each time the driver calls [`UpstreamRequest::client`] or [`UpstreamRequest::trace`].
struct BlockingCallbacks;

impl UpstreamRequest for BlockingCallbacks {
    fn client(&self) -> Option<&PeerWatch> {
        std::thread::sleep(BLOCK_TIME);
        None
    }
    fn trace(&self) -> Option<&Rc<RequestTrace>> {
        std::thread::sleep(BLOCK_TIME);
        None
    }
    fn run_attempt(self: Rc<Self>, _: ExchangeSpec) -> ExchangeFuture {
        Box::pin(std::future::pending())
    }
}

/// Writes a request without a body in one call.
async fn write_request(stream: &mut Stream) -> std::io::Result<usize> {
    stream.begin_request(0);
    let mut stream = std::pin::Pin::new(stream);
    std::future::poll_fn(|cx| stream.as_mut().poll_write(cx, b"GET / HTTP/1.1\r\n\r\n")).await
}

/// A request that is written and never answered. If it cannot be written, its exchange ends with a closed connection.
struct NeverAnswered;

impl UpstreamRequest for NeverAnswered {
    fn client(&self) -> Option<&PeerWatch> {
        None
    }
    fn run_attempt(self: Rc<Self>, mut spec: ExchangeSpec) -> ExchangeFuture {
        Box::pin(async move {
            match write_request(&mut spec.stream).await {
                Ok(_) => std::future::pending().await,
                Err(_) => ExchangeOutcome::ConnectionClosed,
            }
        })
    }
}

const UPSTREAM_CONFIG: UpstreamConfig = UpstreamConfig {
    connect_timeout: Micros(1_000_000),
    idle_timeout: Micros(1_000_000),
    response_stall_timeout: None,
    max_body: 64 * 1024,
    max_connections: 4,
};

fn pool(name: &str, config: Config) -> PoolSetup {
    PoolSetup {
        spec: PoolSpec { name: name.into(), deduplication_domain: None, source: Source::Discovered },
        config,
    }
}

fn driver(pools: &[&str]) -> (Rc<Driver>, Vec<PoolId>) {
    let driver = Driver::new(Clock::new(), UPSTREAM_CONFIG);
    let pools = pools.iter().map(|name| pool(name, Config::example())).collect();
    let ids = driver.setup(Some((&[], &[])), "", 1, UPSTREAM_CONFIG, pools).unwrap();
    (driver, ids)
}

fn entries(status: &str, address: &str) -> Vec<Endpoint> {
    let entry = serde_json::json!({"name": "b", "address": address, "status": status});
    List { index: 1, snapshot: false, endpoints: vec![entry] }.entries().0
}

fn request_spec(pools: &[PoolId]) -> RequestSpec {
    let arrival = Arrival {
        request: RequestId(0),
        class: ClassId(0),
        tenant: None,
        time_left: Micros(0),
        work_hint: None,
        is_client_retry: false,
        may_fail_over: false,
    };
    RequestSpec {
        arrival,
        idempotency: Idempotency::NonIdempotent,
        pools: pools.into(),
        requires_intent: false,
        recorded: false,
    }
}

/// Returns a deadline that no test reaches.
fn distant_deadline(driver: &Driver) -> Time {
    driver.clock.now() + Micros(60_000_000)
}

/// The backend starts to drain, or the client disconnects, while the connection is being established. A backend that is gone
/// is removed from the directory.
#[tokio::test]
async fn attempt_is_not_started_on_draining_or_gone_backend() {
    let scope = tokio::task::LocalSet::new();
    scope
        .run_until(async {
            let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
            let at = listener.local_addr().unwrap().to_string();
            let (driver, pools) = driver(&["p"]);
            driver.update_endpoints(pools[0], EndpointUpdate::Delta, entries("SERVING", &at));
            let (_, answer) = driver
                .submit(
                    request_spec(&pools),
                    distant_deadline(&driver),
                    RequestIdentity::default(),
                    Rc::new(NeverWritten),
                )
                .unwrap();
            assert_eq!(driver.upstream_connection_count(), 1, "no connection is being established");
            driver.update_endpoints(pools[0], EndpointUpdate::Delta, entries("DRAINING", &at));
            assert_eq!(driver.upstream_connection_count(), 0);
            driver.update_endpoints(pools[0], EndpointUpdate::Delta, entries("SERVING", &at));
            let (disconnected, _) = driver
                .submit(
                    request_spec(&pools),
                    distant_deadline(&driver),
                    RequestIdentity::default(),
                    Rc::new(NeverWritten),
                )
                .unwrap();
            driver.client_disconnected(disconnected);
            assert_eq!(driver.state.borrow().counters.dispatched, 0);
            driver.update_endpoints(pools[0], EndpointUpdate::Delta, entries("DELETED", &at));
            assert_eq!(driver.state.borrow().directory.address(BackendId(0)), None, "still in the directory");
            drop(answer);
        })
        .await;
}

/// Guards against one event for each connection to the old address: the second event would close the connection that the
/// first one has opened to the new address for the waiting attempt.
#[tokio::test]
async fn address_change_is_one_event_for_all_connections_to_the_old_address() {
    let scope = tokio::task::LocalSet::new();
    scope
        .run_until(async {
            let (driver, pools) = driver(&["p"]);
            driver.update_endpoints(pools[0], EndpointUpdate::Delta, entries("SERVING", "127.0.0.1:9"));
            for _ in 0..3 {
                let (disconnected, _) = driver
                    .submit(
                        request_spec(&pools),
                        distant_deadline(&driver),
                        RequestIdentity::default(),
                        Rc::new(NeverWritten),
                    )
                    .unwrap();
                driver.client_disconnected(disconnected); // its connection is still established, for other requests
            }
            let (_, answer) = driver
                .submit(
                    request_spec(&pools),
                    distant_deadline(&driver),
                    RequestIdentity::default(),
                    Rc::new(NeverWritten),
                )
                .unwrap();
            assert_eq!(
                (driver.upstream_connection_count(), driver.state.borrow().connections.connects_begun),
                (4, 4)
            );
            driver.update_endpoints(pools[0], EndpointUpdate::Delta, entries("SERVING", "127.0.0.2:9"));
            assert_eq!(
                (driver.upstream_connection_count(), driver.state.borrow().connections.connects_begun),
                (1, 5)
            );
            assert!(answer.is_empty(), "answered before the new connection is established");
        })
        .await;
}

/// Guards against reconnecting until the request's deadline to a backend that closes each connection when it is established:
/// such a backend counts as unreachable. Here the first connection is closed before the event loop reports it established.
#[tokio::test]
async fn connection_closed_when_established_is_not_replaced_for_same_attempt() {
    let scope = tokio::task::LocalSet::new();
    scope
        .run_until(async {
            let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
            let at = listener.local_addr().unwrap().to_string();
            let (driver, pools) = driver(&["p"]);
            driver.update_endpoints(pools[0], EndpointUpdate::Delta, entries("SERVING", &at));
            let (_, answer) = driver
                .submit(
                    request_spec(&pools),
                    distant_deadline(&driver),
                    RequestIdentity::default(),
                    Rc::new(NeverAnswered),
                )
                .unwrap();
            tokio::task::yield_now().await; // starts the connect
            drop(listener.accept().unwrap());
            let begun = std::time::Instant::now();
            while driver.state.borrow().counters.connections_unusable == 0 {
                assert!(begun.elapsed().as_secs() < 20, "the close was not detected");
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
            let opened = driver.state.borrow().connections.connects_begun;
            assert_eq!(
                (opened, driver.upstream_connection_count()),
                (1, 0),
                "a connection was opened as a replacement"
            );
            assert!(matches!(answer.await.unwrap().decision, FinalDecision::Rejected(_)));
        })
        .await;
}

/// Guards against an event loop that is blocked by rounds of decisions that take longer than the interval between them.
#[tokio::test]
async fn timers_that_are_always_due_do_not_block_event_loop() {
    let scope = tokio::task::LocalSet::new();
    scope
        .run_until(async {
            let (driver, pools) = driver(&["p"]);
            let short_interval = pool("p", Config { min_timer_interval: Micros(1), ..Config::example() });
            driver.setup(None, "", 1, UPSTREAM_CONFIG, vec![short_interval]).unwrap();
            let (id, queued) = driver
                .submit(
                    request_spec(&pools),
                    distant_deadline(&driver),
                    RequestIdentity::default(),
                    Rc::new(NeverWritten),
                )
                .unwrap();
            let timers = tokio::task::spawn_local(driver.clone().run_timers());
            let start = std::time::Instant::now();
            for _ in 0..20 {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
            assert!(start.elapsed().as_millis() < 300, "{:?}", start.elapsed());
            driver.client_disconnected(id);
            drop(queued);
            timers.abort();
        })
        .await;
}

/// Guards against a deadline that moves because it is computed from a later clock reading while a request is submitted.
#[tokio::test]
async fn deadline_is_kept_if_thread_blocks_while_request_is_submitted() {
    let (driver, pools) = driver(&["p"]);
    let deadline = distant_deadline(&driver);
    let (id, _answer) = driver
        .submit(request_spec(&pools), deadline, RequestIdentity::default(), Rc::new(BlockingCallbacks))
        .unwrap();
    assert_eq!(driver.state.borrow().engine.requests()[&id].deadline, deadline);
}

/// The self-check tolerates a response that is late because the thread waited for a processor, but not one that is late
/// because the event loop was blocked or busy.
#[tokio::test]
async fn response_late_because_event_loop_blocked_is_a_violation() {
    const TIME_LEFT: Micros = Micros(50_000);
    const BLOCKED_FOR: Duration = Duration::from_millis(300);
    let scope = tokio::task::LocalSet::new();
    scope
        .run_until(async {
            let (driver, pools) = driver(&["p"]);
            let mut config = Config::example();
            config.classes[0].latency_objective = TIME_LEFT; // otherwise the request has too little time to be queued
            driver.setup(None, "", 1, UPSTREAM_CONFIG, vec![pool("p", config)]).unwrap();
            driver.enable_self_check(Micros(0));
            let timers = tokio::task::spawn_local(driver.clone().run_timers());
            let deadline = driver.clock.now() + TIME_LEFT;
            let (_, answer) = driver
                .submit(request_spec(&pools), deadline, RequestIdentity::default(), Rc::new(NeverWritten))
                .unwrap();
            std::thread::sleep(BLOCKED_FOR);
            answer.await.unwrap();
            let (count, texts) = driver.violations();
            assert!(count > 0 && texts.iter().all(|text| text.contains("after its deadline")), "{texts:?}");
            timers.abort();
        })
        .await;
}

/// Holds for snapshots and deltas. The cost of an update of one pool must not depend on the number of backends of the other
/// pools.
#[tokio::test]
async fn endpoint_update_sets_backend_states_at_the_cost_of_its_own_entries() {
    let (driver, pools) = driver(&["p", "q"]);
    let many = |from: u32, to: u32| -> Vec<Endpoint> {
        let entry = |n: u32| serde_json::json!({"name": format!("{n:05}"), "address": "127.0.0.1:9", "status": "SERVING"});
        List { index: 1, snapshot: true, endpoints: (from..to).map(entry).collect() }.entries().0
    };
    driver.update_endpoints(pools[0], EndpointUpdate::Snapshot, many(0, 30_000));
    let start = std::time::Instant::now();
    (0..300).for_each(|_| driver.update_endpoints(pools[1], EndpointUpdate::Delta, Vec::new()));
    assert!(start.elapsed().as_millis() < 800, "{:?}", start.elapsed());
    let served = |ids: [u32; 3]| {
        ids.map(|id| driver.state.borrow().engine.backend_state(BackendId(id)) == BackendState::Ready)
    };
    assert_eq!(served([0, 29_999, 30_000]), [true, true, false]);
    driver.update_endpoints(pools[0], EndpointUpdate::Snapshot, many(1, 3));
    assert_eq!(
        served([0, 1, 29_999]),
        [false, true, false],
        "a backend absent from the snapshot is still ready"
    );
    let drains = Endpoint { state: BackendState::Draining, ..many(1, 2).remove(0) };
    driver.update_endpoints(pools[0], EndpointUpdate::Delta, vec![drains]);
    assert_eq!(served([0, 1, 2]), [false, false, true]);
}

/// The request fails over if its route has another pool; otherwise it is rejected at once.
#[tokio::test]
async fn queued_request_is_answered_or_failed_over_when_its_pool_closes() {
    let scope = tokio::task::LocalSet::new();
    scope
        .run_until(async {
            let (driver, pools) = driver(&["p", "q"]);
            let (_, queued) = driver
                .submit(
                    request_spec(&pools[..1]),
                    distant_deadline(&driver),
                    RequestIdentity::default(),
                    Rc::new(NeverWritten),
                )
                .unwrap();
            let (_, failed_over) = driver
                .submit(
                    request_spec(&pools),
                    distant_deadline(&driver),
                    RequestIdentity::default(),
                    Rc::new(NeverWritten),
                )
                .unwrap();
            let q = pool("q", Config::example());
            assert_eq!(driver.setup(None, "", 1, UPSTREAM_CONFIG, vec![q]).unwrap(), pools[1..]);
            assert!(matches!(queued.await.unwrap().decision, FinalDecision::Rejected(_)));
            driver.update_endpoints(pools[1], EndpointUpdate::Snapshot, entries("SERVING", "127.0.0.1:9"));
            let timers = tokio::task::spawn_local(driver.clone().run_timers());
            while driver.state.borrow().connections.connects_begun == 0 {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
            timers.abort();
            drop(failed_over);
        })
        .await;
}

/// A request that is written, and that blocks the thread in the second call of [`UpstreamRequest::client`], which the driver
/// makes when it dispatches the attempt.
#[derive(Default)]
struct BlocksAtDispatch {
    client_calls: Cell<u32>,
}

impl UpstreamRequest for BlocksAtDispatch {
    fn client(&self) -> Option<&PeerWatch> {
        self.client_calls.set(self.client_calls.get() + 1);
        if self.client_calls.get() == 2 {
            std::thread::sleep(2 * BLOCK_TIME);
        }
        None
    }
    fn run_attempt(self: Rc<Self>, spec: ExchangeSpec) -> ExchangeFuture {
        Rc::new(NeverAnswered).run_attempt(spec)
    }
}

/// Guards against a request that is sent after the client's deadline because the process was suspended between the engine's
/// decision and the first write.
#[tokio::test]
async fn request_is_not_begun_after_its_deadline() {
    let scope = tokio::task::LocalSet::new();
    scope
        .run_until(async {
            let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
            let (driver, pools) = driver(&["p"]);
            let timers = tokio::task::spawn_local(driver.clone().run_timers());
            let address = listener.local_addr().unwrap().to_string();
            driver.update_endpoints(pools[0], EndpointUpdate::Delta, entries("SERVING", &address));
            let deadline = driver.clock.now() + Micros(BLOCK_TIME.as_micros() as u64);
            let request = Rc::new(BlocksAtDispatch::default());
            let (_, answer) = driver
                .submit(request_spec(&pools), deadline, RequestIdentity::default(), request.clone())
                .unwrap();
            answer.await.unwrap();
            assert_eq!(request.client_calls.get(), 2, "not dispatched");
            timers.abort();
            assert_eq!(driver.state.borrow().counters.dispatched, 1);
            let (mut peer, _) = listener.accept().unwrap();
            drop(driver);
            peer.set_read_timeout(Some(BLOCK_TIME)).unwrap();
            assert_eq!(
                std::io::Read::read(&mut peer, &mut [0; 64]).unwrap_or(0),
                0,
                "written after its deadline"
            );
        })
        .await;
}
