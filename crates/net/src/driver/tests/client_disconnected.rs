//! Clients that close their connection before an attempt begins. The event loop has not been polled since the close, so that
//! only a query of the socket detects it.

use super::*;
use shaletide_routing::ResponseClass;
use std::io::{Read as _, Write as _};
use std::net::{TcpListener, TcpStream as StdStream};
use tokio::net::TcpStream;
use tokio::sync::oneshot;

/// How a client ends its connection.
#[derive(Clone, Copy, Debug)]
enum End {
    Close,
    Reset,
    /// By the platform's protocol, a client that closes its sending side no longer waits for a response.
    HalfClose,
    /// Unread bytes before the close hide it from a read.
    CloseBehindBytes,
}

const ENDS: [End; 4] = [End::Close, End::Reset, End::HalfClose, End::CloseBehindBytes];

/// A client's connection: the proxy's side and the client's side.
struct Client {
    accepted: Stream,
    socket: StdStream,
}

impl Client {
    fn connect() -> Client {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let socket = StdStream::connect(listener.local_addr().unwrap()).unwrap();
        let accepted = listener.accept().unwrap().0;
        accepted.set_nonblocking(true).unwrap();
        Client { accepted: Stream::new(TcpStream::from_std(accepted).unwrap()), socket }
    }

    /// Ends the connection. Returns the socket if it has to stay open for this kind of end.
    fn end(mut self, end: End) -> Option<StdStream> {
        match end {
            End::Close => None,
            End::Reset => {
                socket2::SockRef::from(&self.socket).set_linger(Some(Duration::ZERO)).unwrap();
                None
            }
            End::HalfClose => {
                self.socket.shutdown(std::net::Shutdown::Write).unwrap();
                Some(self.socket)
            }
            End::CloseBehindBytes => {
                self.socket.write_all(b"\r\n").unwrap();
                None
            }
        }
    }
}

/// A request that gets a response of the same class at each attempt.
struct Request {
    client: PeerWatch,
    class: ResponseClass,
    /// The client whose connection ends when the first attempt is answered, and the kind of end.
    ends: RefCell<Option<(Client, End)>>,
    written: Cell<u32>,
}

impl Request {
    fn new(client: &Client, class: ResponseClass) -> Request {
        let client = client.accepted.watch();
        Request { client, class, ends: RefCell::default(), written: Cell::default() }
    }
}

impl UpstreamRequest for Request {
    fn client(&self) -> Option<&PeerWatch> {
        Some(&self.client)
    }

    fn run_attempt(self: Rc<Self>, mut spec: ExchangeSpec) -> ExchangeFuture {
        Box::pin(async move {
            match write_request(&mut spec.stream).await {
                Ok(_) => {
                    self.written.set(self.written.get() + 1);
                    let ends = self.ends.take();
                    std::mem::forget(ends.and_then(|(client, end)| client.end(end)));
                    ExchangeOutcome::Response {
                        class: self.class,
                        reusable: true,
                        has_excess_bytes: false,
                        report: None,
                    }
                }
                Err(_) => ExchangeOutcome::ConnectionClosed,
            }
        })
    }
}

/// A driver with one pool, a client, and a backend's listener.
struct Setup {
    driver: Rc<Driver>,
    pools: Vec<PoolId>,
    client: Client,
    backend: TcpListener,
}

impl Setup {
    fn new() -> Setup {
        let (driver, pools) = driver(&["p"]);
        // A single proxy has the whole retry budget.
        let only = pool("p", Config { proxies: 1, ..Config::example() });
        driver.setup(None, "", 1, UPSTREAM_CONFIG, vec![only]).unwrap();
        let backend = TcpListener::bind("127.0.0.1:0").unwrap();
        backend.set_nonblocking(true).unwrap();
        Setup { driver, pools, client: Client::connect(), backend }
    }

    /// Adds the backend to the pool's list under each of these names.
    fn list_backends(&self, names: &[&str]) {
        let at = self.backend.local_addr().unwrap().to_string();
        let entry = |name: &&str| serde_json::json!({"name": name, "address": at, "status": "SERVING"});
        let list = List { index: 1, snapshot: false, endpoints: names.iter().map(entry).collect() };
        self.driver.update_endpoints(self.pools[0], EndpointUpdate::Delta, list.entries().0);
    }

    /// Sends requests that are served, which fills the retry budget.
    async fn fill_retry_budget(&self) {
        for _ in 0..30 {
            let request = Rc::new(Request::new(&self.client, ResponseClass::Served));
            let (_, answer) = submit(&self.driver, &self.pools, request).unwrap();
            assert_eq!(answer.await.unwrap().decision, FinalDecision::Served);
        }
    }

    fn request(&self) -> Result<(RequestId, oneshot::Receiver<FinalResponse>), SubmitError> {
        let request = Request::new(&self.client, ResponseClass::NotExecuted);
        submit(&self.driver, &self.pools, Rc::new(request))
    }
}

fn submit(
    driver: &Rc<Driver>, pools: &[PoolId], request: Rc<Request>,
) -> Result<(RequestId, oneshot::Receiver<FinalResponse>), SubmitError> {
    driver.submit(request_spec(pools), distant_deadline(driver), RequestIdentity::default(), request)
}

/// Runs the event loop until no more work is pending.
async fn settle() {
    for _ in 0..50 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

/// Returns the number of bytes that the backend has received on all its connections. Each connection is closed or idle by
/// now.
fn received(backend: &TcpListener) -> usize {
    let mut count = 0;
    while let Ok((mut connection, _)) = backend.accept() {
        connection.set_nonblocking(true).unwrap();
        let mut bytes = [0; 1024];
        while let Ok(n @ 1..) = connection.read(&mut bytes) {
            count += n;
        }
    }
    count
}

/// Asserts that the engine and the driver have no state of the request, and that nothing was written to the backend.
fn assert_no_state_left(driver: &Driver, backend: &TcpListener, case: &str) {
    assert_eq!(received(backend), 0, "{case}: written to the backend");
    let state = driver.state.borrow();
    assert!(state.open_requests.is_empty(), "{case}: still awaited");
    assert!(state.engine.requests().is_empty(), "{case}: still in the engine");
}

async fn run(case: impl AsyncFn(End)) {
    let scope = tokio::task::LocalSet::new();
    scope
        .run_until(async {
            for end in ENDS {
                case(end).await;
            }
        })
        .await;
}

/// The request and the close were both in the accept queue, or the client closed after the head was read.
#[tokio::test]
async fn request_is_not_accepted_after_client_closed() {
    run(async |end| {
        let setup = Setup::new();
        setup.list_backends(&["b"]);
        let request = Request::new(&setup.client, ResponseClass::NotExecuted);
        let _open = setup.client.end(end);
        let submitted = submit(&setup.driver, &setup.pools, Rc::new(request));
        assert_eq!(submitted.map(|_| ()), Err(SubmitError::ClientClosed), "{end:?}");
        settle().await;
        assert_no_state_left(&setup.driver, &setup.backend, &format!("{end:?}"));
    })
    .await;
}

/// The connection to the backend is being established when the client disconnects; both are reported in one turn of the event
/// loop.
#[tokio::test]
async fn attempt_does_not_begin_on_new_connection_after_client_closed() {
    run(async |end| {
        let setup = Setup::new();
        setup.list_backends(&["b"]);
        let (_, answer) = setup.request().unwrap();
        assert_eq!(setup.driver.upstream_connection_count(), 1, "no connection is being established");
        let accepted = setup.client.accepted.clone();
        let _open = setup.client.end(end);
        settle().await;
        assert_no_state_left(&setup.driver, &setup.backend, &format!("{end:?}"));
        drop((accepted, answer));
    })
    .await;
}

/// An idle connection is available: the attempt is dispatched while the client is connected, and its first byte would be
/// written after the client has closed.
#[tokio::test]
async fn first_byte_is_not_written_on_idle_connection_after_client_closed() {
    run(async |end| {
        let setup = Setup::new();
        setup.list_backends(&["b"]);
        let (first, answer) = setup.request().unwrap();
        setup.driver.client_disconnected(first); // the connection is still established, for other requests
        drop(answer);
        settle().await;
        let (_, answer) = setup.request().unwrap();
        assert_eq!(setup.driver.state.borrow().counters.dispatched, 1, "not dispatched");
        let accepted = setup.client.accepted.clone();
        let _open = setup.client.end(end);
        settle().await;
        assert_no_state_left(&setup.driver, &setup.backend, &format!("{end:?}"));
        drop((accepted, answer));
    })
    .await;
}

/// The request is queued as there is no backend. The update that adds one is handled before the event loop reports the close.
#[tokio::test]
async fn queued_request_is_not_sent_after_client_closed() {
    run(async |end| {
        let setup = Setup::new();
        let (_, answer) = setup.request().unwrap();
        let timers = tokio::task::spawn_local(setup.driver.clone().run_timers());
        let (accepted, backend) = (setup.client.accepted.clone(), setup.backend.local_addr().unwrap());
        let _open = setup.client.end(end);
        setup.driver.update_endpoints(
            setup.pools[0],
            EndpointUpdate::Delta,
            entries("SERVING", &backend.to_string()),
        );
        settle().await;
        assert_no_state_left(&setup.driver, &setup.backend, &format!("{end:?}"));
        timers.abort();
        drop((accepted, answer));
    })
    .await;
}

/// The backend rejects the first attempt without executing it, and the client disconnects at that moment. Without the close, a
/// second attempt follows.
#[tokio::test]
async fn retry_does_not_begin_after_client_closed() {
    run(async |end| {
        for disconnects in [false, true] {
            let setup = Setup::new();
            setup.list_backends(&["b", "c"]); // a retry goes to another backend
            let timers = tokio::task::spawn_local(setup.driver.clone().run_timers());
            setup.fill_retry_budget().await;
            let request = Rc::new(Request::new(&setup.client, ResponseClass::NotExecuted));
            let accepted = setup.client.accepted.clone();
            let connected_client = match disconnects {
                true => {
                    request.ends.replace(Some((setup.client, end)));
                    None
                }
                false => Some(setup.client),
            };
            let (id, answer) = submit(&setup.driver, &setup.pools, request.clone()).unwrap();
            while request.written.get() < if disconnects { 1 } else { 2 } {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
            settle().await;
            assert!(
                !disconnects || request.written.get() == 1,
                "{end:?}: sent {} times",
                request.written.get()
            );
            setup.driver.client_disconnected(id);
            assert!(setup.driver.state.borrow().engine.requests().is_empty(), "{end:?}: still in the engine");
            timers.abort();
            drop((accepted, answer, connected_client));
        }
    })
    .await;
}
