//! Attempts: one request to one backend, and the pool of connections that they use.

use super::stream::Stream;
use super::{span, strip_hop_by_hop, MAX_BODY};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::{HeaderMap, Method, Request, Response, StatusCode, Uri};
use shaletide::settings::Network;
use shaletide::{BackendId, Outcome};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::future::{poll_fn, Future};
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Part of the backends' idle limit after which a connection is no longer used: well inside it, as their
/// clock may have started earlier than ours.
const IDLE_PART: f64 = 0.6;
/// How often idle connections are looked over.
const SWEEP: Duration = Duration::from_millis(500);

/// A client's request as it goes on to backends.
pub struct Call {
    pub method: Method,
    pub uri: Uri,
    pub headers: HeaderMap,
    pub body: Bytes,
}

/// A served answer.
pub struct Served {
    pub headers: HeaderMap,
    pub body: Bytes,
}

/// How an attempt ended, with the answer where it was served.
pub type Ended = (Outcome, Option<Served>);

/// A connection and its place among the open ones. It is driven only while a request is on it; dropping it
/// closes the socket, which is how an attempt is cancelled.
struct Conn {
    sender: http1::SendRequest<Full<Bytes>>,
    conn: http1::Connection<Stream, Full<Bytes>>,
    stream: Stream,
    to: SocketAddr,
    since: Instant,
    _slot: Slot,
}

/// Counts an open (or opening) connection.
struct Slot(Rc<Cell<usize>>);

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Idle connections by backend, the most recently used last.
pub struct Pool {
    idle: RefCell<HashMap<BackendId, Vec<Conn>>>,
    shut: RefCell<HashSet<BackendId>>,
    heard: RefCell<HashMap<BackendId, Instant>>,
    open: Rc<Cell<usize>>,
    max: usize,
    keep: Duration,
    connect_timeout: Duration,
    pub opened: Cell<u64>,
}

impl Pool {
    pub fn new(network: &Network, max: usize) -> Pool {
        Pool {
            idle: RefCell::default(),
            shut: RefCell::default(),
            heard: RefCell::default(),
            open: Rc::default(),
            max,
            keep: span(network.conn_idle.times(IDLE_PART)),
            connect_timeout: span(network.connect_timeout),
            opened: Cell::new(0),
        }
    }

    pub fn open(&self) -> usize {
        self.open.get()
    }

    fn usable(&self, c: &Conn) -> bool {
        c.since.elapsed() < self.keep && !c.sender.is_closed() && !c.stream.stirred()
    }

    /// A warm connection, checked at this moment.
    fn take(&self, id: BackendId, to: SocketAddr) -> Option<Conn> {
        let mut idle = self.idle.borrow_mut();
        let list = idle.get_mut(&id)?;
        while let Some(c) = list.pop() {
            if c.to == to && self.usable(&c) {
                return Some(c);
            }
        }
        None
    }

    fn put(&self, id: BackendId, mut c: Conn) {
        if self.shut.borrow().contains(&id) {
            return;
        }
        c.since = Instant::now();
        c.stream.mark_idle();
        self.idle.borrow_mut().entry(id).or_default().push(c);
    }

    /// These backends are to get nothing new: no connection to them is kept idle.
    pub fn shut(&self, ids: HashSet<BackendId>) {
        self.idle.borrow_mut().retain(|id, _| !ids.contains(id));
        self.heard.borrow_mut().retain(|id, _| !ids.contains(id));
        *self.shut.borrow_mut() = ids;
    }

    /// An attempt sent at `sent` was given up unanswered. Where nothing at all was heard of the backend since,
    /// its machine may be cut off and its idle connections dead without a sign: what is written to one of
    /// those may have run for all one can tell, while a new connection that does not come up proves that
    /// it did not.
    pub fn unanswered(&self, id: BackendId, sent: Instant) {
        if self.heard.borrow().get(&id).is_none_or(|at| *at < sent) {
            self.idle.borrow_mut().remove(&id);
        }
    }

    /// Closes the connection that was idle longest; false when there is none.
    pub fn close_oldest(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        let oldest = idle.values_mut().filter(|l| !l.is_empty()).min_by_key(|l| l[0].since);
        oldest.map(|list| list.remove(0)).is_some()
    }

    /// Retires what stood idle too long or was closed from the other side.
    pub async fn sweep(self: Rc<Pool>) {
        loop {
            tokio::time::sleep(SWEEP).await;
            self.idle.borrow_mut().retain(|_, list| {
                list.retain(|c| self.usable(c));
                !list.is_empty()
            });
        }
    }

    async fn connect(&self, to: SocketAddr) -> Result<Conn, Outcome> {
        // At the bound an idle connection makes room; where there is none the backend is not to blame.
        if self.open.get() >= self.max && !self.close_oldest() {
            return Err(Outcome::NeverSent);
        }
        self.open.set(self.open.get() + 1);
        let slot = Slot(self.open.clone());
        self.opened.set(self.opened.get() + 1);
        let dial = tokio::time::timeout(self.connect_timeout, TcpStream::connect(to)).await;
        let stream = match dial {
            Ok(Ok(tcp)) => Stream::new(tcp),
            // Out of descriptors: that is this proxy's own trouble, and no sign of the backend's.
            Ok(Err(e)) if matches!(e.raw_os_error(), Some(23 | 24)) => return Err(Outcome::NeverSent),
            Ok(Err(_)) | Err(_) => return Err(Outcome::ConnectFailed),
        };
        let shaken = http1::Builder::new().max_buf_size(2 * MAX_BODY).handshake(stream.clone()).await;
        let (sender, conn) = shaken.map_err(|_| Outcome::ConnectFailed)?;
        Ok(Conn { sender, conn, stream, to, since: Instant::now(), _slot: slot })
    }

    /// Sends `call` to a backend and waits for the answer. `may_send` is asked at the moment of the first
    /// byte: the backend may have begun to drain while the connection came up.
    pub async fn attempt(
        &self, id: BackendId, to: SocketAddr, call: &Call, deadline: Instant, may_send: impl Fn() -> bool,
    ) -> Ended {
        let mut c = match self.take(id, to) {
            Some(c) => c,
            None => match self.connect(to).await {
                Ok(c) => c,
                Err(outcome) => return (outcome, None),
            },
        };
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() || !may_send() {
            self.put(id, c); // an unused connection stays warm
            return (Outcome::NeverSent, None);
        }
        let mut request = Request::new(Full::new(call.body.clone()));
        *request.method_mut() = call.method.clone();
        *request.uri_mut() = call.uri.clone();
        *request.headers_mut() = call.headers.clone();
        if let Ok(text) = format!("{:.3}", left.as_secs_f64()).parse() {
            request.headers_mut().insert("x-time-left", text);
        }
        c.stream.begin_request(call.body.len());
        let Conn { sender, conn, .. } = &mut c;
        let exchange = async {
            sender.ready().await?;
            let answer = sender.send_request(request).await?;
            let outcome = judge(&answer);
            let (head, body) = answer.into_parts();
            let body = Limited::new(body, MAX_BODY).collect().await;
            Ok::<_, hyper::Error>((outcome, head, body))
        };
        match driven(conn, exchange).await {
            Some(Ok((outcome, mut head, body))) => {
                self.heard.borrow_mut().insert(id, Instant::now());
                // One look: an answer does not wait for a connection that is not ready for more.
                let again = body.is_ok() && {
                    let mut next = pin!(driven(conn, sender.ready()));
                    let next = poll_fn(|cx| Poll::Ready(next.as_mut().poll(cx))).await;
                    matches!(next, Poll::Ready(Some(Ok(()))))
                };
                if again {
                    self.put(id, c);
                }
                match (outcome, body) {
                    (Outcome::Ok, Ok(body)) => {
                        strip_hop_by_hop(&mut head.headers);
                        head.headers.remove("x-backend-load");
                        (Outcome::Ok, Some(Served { headers: head.headers, body: body.to_bytes() }))
                    }
                    // Served, but cut off or too long to pass on: it has run.
                    (Outcome::Ok, Err(e)) if e.is::<hyper::Error>() => (Outcome::Reset, None),
                    (Outcome::Ok, Err(_)) => (Outcome::Error, None),
                    (outcome, _) => (outcome, None),
                }
            }
            // The backend begins with the last byte, and never before it.
            _ if !c.stream.request_written() => (Outcome::ConnectFailed, None),
            // What cannot be read as an answer is an answer all the same, and no break.
            Some(Err(e)) if e.is_parse() => (Outcome::Error, None),
            _ => (Outcome::Reset, None),
        }
    }
}

/// What an answer says. Whatever the protocol does not list may have run.
fn judge(answer: &Response<Incoming>) -> Outcome {
    let unprocessed = answer.headers().get("x-unprocessed").is_some_and(|v| v == "1");
    match answer.status() {
        StatusCode::OK => Outcome::Ok,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if unprocessed => Outcome::Full,
        _ => Outcome::Error,
    }
}

/// Runs `work` to its end while driving the connection that it is on. `None`: the connection ended first.
/// hyper does not tell `work` of that end by itself as long as the connection's future is kept: a wait for
/// the sender to be ready again would last for ever after an answer with which the backend closed.
pub async fn driven<T>(
    conn: &mut http1::Connection<
        Stream,
        impl hyper::body::Body<Data = Bytes, Error: Into<BoxError>> + 'static,
    >,
    work: impl Future<Output = T>,
) -> Option<T> {
    let mut work = pin!(work);
    let mut over = false;
    poll_fn(|cx| {
        if let Poll::Ready(done) = work.as_mut().poll(cx) {
            return Poll::Ready(Some(done));
        }
        if over {
            return Poll::Ready(None);
        }
        if std::pin::Pin::new(&mut *conn).poll(cx).is_ready() {
            over = true;
            cx.waker().wake_by_ref(); // once more for what it brought before it ended
        }
        work.as_mut().poll(cx).map(Some)
    })
    .await
}

type BoxError = Box<dyn std::error::Error + Send + Sync>;

#[cfg(test)]
mod tests {
    use super::*;
    use shaletide::Micros;
    use std::io::Read;

    fn pool(max: usize) -> Pool {
        let (connect_timeout, conn_idle) = (Micros(5_000_000), Micros(60_000_000));
        let network =
            Network { connect_timeout, conn_idle, max_retry_after: Micros(0), deadlines: Vec::new() };
        Pool::new(&network, max)
    }

    fn call() -> Call {
        let uri = Uri::from_static("/pay/k");
        Call { method: Method::POST, uri, headers: HeaderMap::new(), body: Bytes::from_static(b"cash") }
    }

    fn soon() -> Instant {
        Instant::now() + Duration::from_secs(20)
    }

    /// The backend begins to drain while the connection comes up: not a byte goes out on it.
    #[tokio::test]
    async fn a_backend_that_drains_while_connecting_is_sent_nothing() {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let (pool, to) = (pool(4), listener.local_addr().unwrap());
        let ended = pool.attempt(BackendId(0), to, &call(), soon(), || false).await;
        assert_eq!(ended.0, Outcome::NeverSent);
        let mut peer = listener.accept().unwrap().0;
        drop(pool);
        let mut got = Vec::new();
        peer.read_to_end(&mut got).unwrap();
        assert!(got.is_empty(), "{got:?}");
    }

    /// At the bound the backend is not called ill, and an idle connection to another makes room first.
    #[tokio::test]
    async fn the_bound_on_connections_holds_and_the_idle_make_way() {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let (pool, to) = (pool(1), listener.local_addr().unwrap());
        let busy = pool.connect(to).await.ok().unwrap();
        let refused = pool.connect(to).await.err();
        assert_eq!((refused, pool.open()), (Some(Outcome::NeverSent), 1));
        pool.put(BackendId(0), busy);
        let other = pool.connect(to).await;
        assert!(other.is_ok() && pool.open() == 1);
        drop(other);
        assert_eq!(pool.open(), 0);
    }
}
