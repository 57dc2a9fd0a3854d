//! Clients: the listener, their connections, and the graceful shutdown.

use super::host::{Answer, Host};
use super::stream::Stream;
use super::upstream::Call;
use super::{span, strip_hop_by_hop, MAX_BODY};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header::{HeaderValue, CONNECTION, RETRY_AFTER};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use shaletide::*;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::Notify;
use tracing::warn;

/// After SIGTERM new connections go on coming for up to 0.4 s.
const LINGER: Duration = Duration::from_millis(500);
/// Kept after the longest deadline for the last answers' way out.
const FLUSH: Duration = Duration::from_millis(100);
/// Connections over the bound, out of the reserve: each is closed after its answer.
const OVER_BOUND: usize = 24;
const BACKLOG: u32 = 1024;
/// A head that is not whole after this time holds its connection no more where room is needed.
const HEAD_PATIENCE: Micros = Micros(5_000_000);
/// A connection that was told to end and has not is cut after this time: its client reads nothing.
const CLOSE_PATIENCE: Duration = Duration::from_secs(1);
/// Lines about a failing listener come no faster.
const ACCEPT_LOG: Micros = Micros(1_000_000);

/// What requests are checked against.
pub struct Rules {
    pub effects: Vec<Effect>,
    pub deadlines: Vec<Micros>,
    pub max_retry_after: Micros,
}

struct Client {
    stream: Stream,
    busy: Cell<bool>,
    /// When it was accepted or last answered.
    since: Cell<Time>,
    /// It was chosen to make room.
    leaving: Cell<bool>,
    close: Notify,
}

pub struct Server {
    host: Rc<Host>,
    rules: Rules,
    max: usize,
    clients: RefCell<HashMap<u64, Rc<Client>>>,
    next: Cell<u64>,
    stopping: Cell<bool>,
    left: Notify,
    told: Cell<Time>,
}

pub fn listen(at: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = if at.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?; // a restart comes back while old connections still linger
    socket.bind(at)?;
    socket.listen(BACKLOG)
}

impl Server {
    pub fn new(host: Rc<Host>, rules: Rules, max: usize) -> Rc<Server> {
        let (clients, next, told) = (RefCell::default(), Cell::new(0), Cell::default());
        let (stopping, left) = (Cell::new(false), Notify::new());
        Rc::new(Server { host, rules, max, clients, next, stopping, left, told })
    }

    pub fn clients(&self) -> usize {
        self.clients.borrow().len()
    }

    /// Accepts until told to stop, then answers what it has taken and returns.
    pub async fn run(self: Rc<Self>, listener: TcpListener, stop: impl Future<Output = ()>) {
        let mut stop = pin!(stop);
        loop {
            tokio::select! {
                _ = self.accept(&listener) => {}
                _ = &mut stop => break,
            }
        }
        self.stopping.set(true);
        let mut linger = pin!(tokio::time::sleep(LINGER));
        loop {
            tokio::select! {
                _ = self.accept(&listener) => {}
                _ = &mut linger => break,
            }
        }
        // What the kernel has accepted is owed an answer: the backlog is emptied before it is closed.
        if let Ok(listener) = listener.into_std() {
            while let Ok((stream, _)) = listener.accept() {
                let tcp = stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream));
                tcp.into_iter().for_each(|tcp| self.take_in(tcp));
            }
        }
        // Past the longest deadline nothing is owed any more; a client that holds a connection open with half
        // of a request does not keep the program.
        let longest = self.rules.deadlines.iter().max().copied().unwrap_or_default();
        let end = tokio::time::Instant::now() + span(longest) + FLUSH;
        while self.clients() > 0 && tokio::time::Instant::now() < end {
            // Told again and again: one whose request had just arrived is not closed at the first time.
            self.clients.borrow().values().for_each(|c| c.close.notify_one());
            let _ = tokio::time::timeout(Duration::from_millis(20), self.left.notified()).await;
        }
    }

    async fn accept(self: &Rc<Self>, listener: &TcpListener) {
        while self.clients() >= self.max + OVER_BOUND && !self.close_longest_idle() {
            let _ = tokio::time::timeout(Duration::from_millis(20), self.left.notified()).await;
        }
        match listener.accept().await {
            Ok((tcp, _)) => self.take_in(tcp),
            Err(e) => {
                // Out of descriptors, or a client that left in the queue: never the end of the program.
                let made_room = self.close_longest_idle() || self.host.pool.close_oldest();
                let now = self.host.clock.now();
                if now - self.told.get() >= ACCEPT_LOG {
                    self.told.set(now);
                    warn!("accept: {e}; {} clients, {} upstreams", self.clients(), self.host.pool.open());
                }
                if !made_room || e.kind() != std::io::ErrorKind::ConnectionAborted {
                    tokio::time::sleep(Duration::from_millis(5)).await;
                }
            }
        }
    }

    /// The one that was idle longest leaves; where all are in use, one that never finished its head.
    fn close_longest_idle(&self) -> bool {
        let now = self.host.clock.now();
        let clients = self.clients.borrow();
        let free = || clients.values().filter(|c| !c.busy.get() && !c.leaving.get());
        let idle = free().filter(|c| !c.stream.stirred()).min_by_key(|c| c.since.get());
        let stale = || free().filter(|c| now - c.since.get() > HEAD_PATIENCE).min_by_key(|c| c.since.get());
        let Some(client) = idle.or_else(stale) else { return false };
        client.leaving.set(true); // another call at the same moment chooses another
        client.close.notify_one();
        true
    }

    fn take_in(self: &Rc<Self>, tcp: TcpStream) {
        if self.clients() >= self.max {
            self.close_longest_idle();
        }
        let key = self.next.get();
        self.next.set(key + 1);
        let (stream, since) = (Stream::new(tcp), Cell::new(self.host.clock.now()));
        let (busy, leaving, close) = (Cell::new(false), Cell::new(false), Notify::new());
        let client = Rc::new(Client { stream, busy, since, leaving, close });
        self.clients.borrow_mut().insert(key, client.clone());
        let server = self.clone();
        tokio::task::spawn_local(async move {
            server.serve(&client).await;
            server.clients.borrow_mut().remove(&key);
            server.left.notify_one();
        });
    }

    async fn serve(self: &Rc<Self>, client: &Rc<Client>) {
        let service = service_fn(|request| async {
            client.busy.set(true);
            let answer = self.answer(request).await;
            client.since.set(self.host.clock.now());
            client.stream.mark_idle();
            client.busy.set(false);
            Ok::<_, Infallible>(answer)
        });
        let mut builder = http1::Builder::new();
        builder.max_buf_size(MAX_BODY);
        let mut conn = pin!(builder.serve_connection(client.stream.clone(), service));
        let mut cut = pin!(tokio::time::sleep(Duration::MAX));
        loop {
            tokio::select! {
                _ = conn.as_mut() => return,
                _ = cut.as_mut(), if client.leaving.get() && !client.busy.get() => return,
                _ = client.close.notified() => {
                    if client.leaving.get() {
                        cut.as_mut().reset(tokio::time::Instant::now() + CLOSE_PATIENCE);
                    }
                    // A request that has just come is answered first; `answer` then ends the connection.
                    if client.busy.get() || !client.stream.stirred() {
                        conn.as_mut().graceful_shutdown();
                    }
                }
            }
        }
    }

    async fn answer(self: &Rc<Self>, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let mut answer = match request.uri().path() {
            "/-/ready" => plain(StatusCode::OK, "ready\n"),
            _ => self.proxy(request).await.unwrap_or_else(|(status, text)| plain(status, text)),
        };
        if self.stopping.get() || self.clients() > self.max {
            answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        answer
    }

    async fn proxy(
        self: &Rc<Self>, request: Request<Incoming>,
    ) -> Result<Response<Full<Bytes>>, (StatusCode, &'static str)> {
        let came = self.host.clock.now();
        let (head, body) = request.into_parts();
        let mut headers = head.headers;
        let class = head.uri.path().split('/').nth(1).and_then(|name| self.host.class(name));
        let class = class.ok_or((StatusCode::NOT_FOUND, "no such class\n"))?;
        let bad = |text| (StatusCode::BAD_REQUEST, text);
        if !headers.contains_key("x-correlation-id") {
            return Err(bad("X-Correlation-Id is missing\n"));
        }
        // A class that is taken for safer than the request says would be repeated to its harm.
        let keyed = headers.contains_key("idempotency-key");
        let fits = match self.rules.effects[class.0] {
            Effect::Free => head.method == Method::GET,
            Effect::Keyed(..) => head.method == Method::POST && keyed,
            Effect::Unsafe => head.method == Method::POST,
        };
        if !fits {
            return Err(bad("the method or Idempotency-Key does not fit the class\n"));
        }
        let most = self.rules.deadlines[class.0];
        let left = number(&headers, "x-time-left").map_or(most, Micros::from_secs).min(most);
        let deadline = came + Micros(left.0.saturating_sub(self.host.margin().0));
        let body = Limited::new(body, MAX_BODY).collect();
        let body = match tokio::time::timeout(span(left), body).await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(e)) if e.is::<LengthLimitError>() => {
                return Err((StatusCode::PAYLOAD_TOO_LARGE, "the body is over 64 KiB\n"))
            }
            Ok(Err(_)) => return Err(bad("the body is malformed\n")),
            Err(_) => return Err((StatusCode::REQUEST_TIMEOUT, "the body did not come in time\n")),
        };
        let tenant = headers.get("x-account").and_then(|v| v.to_str().ok());
        let arrival = Arrival {
            request: RequestId(0),
            class,
            tenant: tenant.and_then(|name| self.host.tenant(name)),
            time_left: deadline - self.host.clock.now(),
            work_hint: number(&headers, "x-weight-hint").map(|us| Micros(us as u64)),
            repeat: headers.get("x-repeat").is_some_and(|v| v == "1"),
        };
        strip_hop_by_hop(&mut headers);
        let origin = head.uri.path_and_query().map(|p| p.as_str().parse());
        let uri = origin.and_then(Result::ok).ok_or(bad("the target has no path\n"))?;
        let call = Call { method: head.method, uri, headers, body };
        let (id, answer) = self.host.request(arrival, call, self.rules.effects[class.0]);
        let mut owed = Owed { host: &self.host, id, open: true };
        let mut answer = pin!(answer);
        let answer = tokio::select! {
            biased;
            got = answer.as_mut() => got,
            _ = tokio::time::sleep_until(self.host.clock.instant(deadline)) => {
                self.host.deadline(id);
                answer.await
            }
        };
        owed.open = false;
        Ok(match answer {
            Ok(Answer::Served(served)) => {
                let mut response = Response::new(Full::new(served.body));
                *response.headers_mut() = served.headers;
                response
            }
            Ok(Answer::Refused(retry_after)) => {
                let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, "refused\n");
                let advice = retry_after.min(self.rules.max_retry_after).secs();
                if let Ok(text) = format!("{advice:.3}").parse() {
                    response.headers_mut().insert(RETRY_AFTER, text);
                }
                response
            }
            Ok(Answer::Failed) => plain(StatusCode::BAD_GATEWAY, "failed\n"),
            Ok(Answer::TimedOut) | Err(_) => plain(StatusCode::GATEWAY_TIMEOUT, "timed out\n"),
        })
    }
}

/// Tells the host when hyper drops an unanswered request because its client is gone.
struct Owed<'a> {
    host: &'a Rc<Host>,
    id: RequestId,
    open: bool,
}

impl Drop for Owed<'_> {
    fn drop(&mut self) {
        if self.open {
            self.host.client_gone(self.id);
        }
    }
}

/// A header's number, where it holds a sensible one.
fn number(headers: &HeaderMap, name: &str) -> Option<f64> {
    let text = headers.get(name)?.to_str().ok()?;
    text.trim().parse().ok().filter(|n: &f64| n.is_finite() && *n >= 0.0)
}

fn plain(status: StatusCode, text: &'static str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from_static(text.as_bytes())));
    *response.status_mut() = status;
    response
}
