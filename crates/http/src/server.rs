//! Clients: the listener, their connections, and the graceful shutdown.

use crate::bodies::{Coming, Unread};
use crate::errand::Call;
use crate::request::{check_probe, check_target, number, read, Fault};
use crate::rules::Rules;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderValue, ALLOW, CONNECTION, RETRY_AFTER};
use hyper::http::request::Parts;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use shaletide_admission::{Bodies, BodyId};
use shaletide_balancer::*;
use shaletide_engine::Order;
use shaletide_net::{span, strip_hop_by_hop, Answer, Host, Named, NotTaken, Stream};
use shaletide_record::{Conflict, Verdict};
use shaletide_routing::{gets, Decision, Gets};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::Notify;
use tracing::warn;

/// After SIGTERM new connections go on coming for up to 0.4 s.
const LINGER: Duration = Duration::from_millis(500);
/// The program has ended so long after the longest deadline, counted from SIGTERM: SIGKILL comes 0.2 s later at the
/// soonest, which a loaded core may take for the last steps.
const ENDED: Micros = Micros(500_000);
/// And of that is kept for the last answers' way out.
const FLUSH: Micros = Micros(100_000);
/// While the program stops, connections on which there is nothing to wait for are looked for so often.
const LOOK: Duration = Duration::from_millis(20);
/// One that has just been accepted is about to bring a request.
const NEW: Micros = Micros(300_000);
/// Connections over the bound, out of the reserve: each is closed after its answer.
const OVER_BOUND: usize = 24;
/// So many more that were answered and ended, out of the reserve too: what they still send is read for so long.
const LINGERING: usize = 16;
const DRAIN: Duration = Duration::from_millis(500);
const BACKLOG: u32 = 1024;
/// The largest head, to which hyper holds a connection's buffer.
const MAX_HEAD: usize = 16 * 1024;
/// A first request that has begun to come is whole after this time, or makes way where room is needed.
pub(crate) const FIRST_PATIENCE: Micros = Micros(100_000);
/// Connections that never sent a whole request hold this part of the places before they go first at any age.
const UNPROVEN_PART: usize = 4;
/// A connection that was told to end and has not is cut after this time: its client reads nothing.
const CLOSE_PATIENCE: Duration = Duration::from_secs(1);
/// When a request had better come again for whose body there was no room: the slow ones are gone by then.
const CROWDED: Micros = Micros(1_000_000);
/// Turns of the event loop after which what has come on a new connection is read: it is told, read, and served.
const TURNS: usize = 4;
/// Lines about a failing listener come no faster.
const ACCEPT_LOG: Micros = Micros(1_000_000);

/// How many clients were not told to leave, and how many of these have sent a whole request that made sense.
#[derive(Default)]
struct Staying {
    all: Cell<usize>,
    proven: Cell<usize>,
}

pub(crate) struct Client {
    stream: Stream,
    staying: Rc<Staying>,
    busy: Cell<bool>,
    /// It has sent a whole request that made sense.
    proven: Cell<bool>,
    /// It was answered once.
    answered: Cell<bool>,
    /// Its last answer said that the connection ends.
    last: Cell<bool>,
    /// When it was accepted or last answered.
    since: Cell<Time>,
    /// It was chosen to make room.
    leaving: Cell<bool>,
    close: Notify,
    /// The body of its request has been coming since then; nothing is owed for it yet.
    pub(crate) coming: Cell<Option<Time>>,
    /// Something about that body has changed.
    pub(crate) turn: Notify,
}

impl Client {
    fn new(stream: Stream, since: Cell<Time>, staying: Rc<Staying>) -> Client {
        staying.all.set(staying.all.get() + 1);
        let (busy, proven, leaving) = (Cell::new(false), Cell::new(false), Cell::new(false));
        let (answered, last) = (Cell::new(false), Cell::new(false));
        let (close, coming, turn) = (Notify::new(), Cell::new(None), Notify::new());
        Client { stream, staying, busy, proven, answered, last, since, leaving, close, coming, turn }
    }

    /// It has sent a whole request that made sense.
    fn prove(&self) {
        if !self.proven.replace(true) && !self.leaving.get() {
            self.staying.proven.set(self.staying.proven.get() + 1);
        }
    }

    /// It was chosen to make room.
    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.get()
    }

    /// It is to make room.
    fn leave(&self) {
        if !self.leaving.replace(true) {
            self.staying.all.set(self.staying.all.get() - 1);
            if self.proven.get() {
                self.staying.proven.set(self.staying.proven.get() - 1);
            }
        }
    }
}

impl Drop for Client {
    fn drop(&mut self) {
        self.leave();
    }
}

/// The front.
pub struct Server {
    pub(crate) host: Rc<Host>,
    staying: Rc<Staying>,
    rules: RefCell<Rc<Rules>>,
    max: usize,
    clients: RefCell<HashMap<u64, Rc<Client>>>,
    /// The bodies of requests, and whose they are.
    pub(crate) bodies: RefCell<Bodies>,
    pub(crate) senders: RefCell<HashMap<BodyId, Rc<Client>>>,
    /// The ids of the requests that are open.
    ids: RefCell<HashSet<HeaderValue>>,
    /// Ids for requests that bring none are drawn from this.
    given: Cell<u64>,
    next: Cell<u64>,
    /// The program stops, and no request has time beyond this.
    stopping: Cell<Option<Time>>,
    /// No request that was taken so far has time beyond this.
    latest: Cell<Time>,
    left: Notify,
    /// Connections that were answered and ended, and whose clients may still be sending.
    lingering: Cell<usize>,
    told: Cell<Time>,
    /// Accepted, let go of to make room, and turned away since the last report.
    accepted: Cell<u64>,
    evicted: Cell<u64>,
    faults: Cell<u64>,
    /// Bodies that were not waited for any longer, and requests that found no room for theirs.
    pub(crate) slow: Cell<u64>,
    pub(crate) crowded: Cell<u64>,
}

/// Listens there, also while connections of an earlier process linger.
///
/// # Errors
/// What the kernel says.
pub fn listen(at: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = if at.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?; // a restart comes back while old connections still linger
    socket.bind(at)?;
    socket.listen(BACKLOG)
}

impl Server {
    /// A front with places for so many clients; ids that it gives are drawn from the seed.
    pub fn new(host: Rc<Host>, rules: Rules, max: usize, seed: u64) -> Rc<Server> {
        Rc::new(Server {
            host,
            staying: Rc::default(),
            bodies: RefCell::new(Bodies::new(rules.bodies)),
            senders: RefCell::default(),
            rules: RefCell::new(Rc::new(rules)),
            max,
            clients: RefCell::default(),
            ids: RefCell::default(),
            given: Cell::new(seed),
            next: Cell::default(),
            stopping: Cell::default(),
            latest: Cell::default(),
            left: Notify::new(),
            lingering: Cell::default(),
            told: Cell::default(),
            accepted: Cell::default(),
            evicted: Cell::default(),
            faults: Cell::default(),
            slow: Cell::default(),
            crowded: Cell::default(),
        })
    }

    /// Requests are read by these rules from now on; those that are open go on by theirs.
    pub fn reload(&self, rules: Rules) {
        self.bodies.borrow_mut().configure(rules.bodies);
        self.rules.replace(Rc::new(rules));
    }

    fn rules(&self) -> Rc<Rules> {
        self.rules.borrow().clone()
    }

    /// An id for a request that brings none, different from all that were given before.
    fn give_id(&self) -> Option<HeaderValue> {
        // SplitMix64: one to one, so that none comes twice.
        let next = self.given.get().wrapping_add(0x9e37_79b9_7f4a_7c15);
        self.given.set(next);
        let mixed = (next ^ (next >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        HeaderValue::try_from(format!("{:016x}", mixed ^ (mixed >> 31))).ok()
    }

    /// How many are connected.
    pub fn clients(&self) -> usize {
        self.clients.borrow().len()
    }

    /// How many there are that were not told to leave.
    fn staying(&self) -> usize {
        self.staying.all.get()
    }

    /// Those of them that never sent a whole request.
    fn unproven(&self) -> usize {
        self.staying.all.get() - self.staying.proven.get()
    }

    /// For the line of counts.
    pub fn report(&self) -> String {
        let (accepted, evicted, faults) = (self.accepted.take(), self.evicted.take(), self.faults.take());
        let unproven = self.unproven();
        let clients = self.clients();
        let (slow, crowded) = (self.slow.take(), self.crowded.take());
        format!(
            "clients {clients} unproven {unproven} accepted {accepted} evicted {evicted} turned away {faults} \
             slow bodies {slow} without room {crowded}"
        )
    }

    /// Accepts until told to stop, then answers what it has taken and returns.
    pub async fn run(self: Rc<Self>, listeners: Vec<TcpListener>, stop: impl Future<Output = ()>) {
        let mut stop = pin!(stop);
        loop {
            tokio::select! {
                _ = self.accept(&listeners) => {}
                _ = &mut stop => break,
            }
        }
        let begun = self.host.clock.now();
        let rules = self.rules();
        // Those taken by earlier rules may have longer, and one that is killed before their time is up answers sooner.
        let longest = rules.longest().max(self.latest.get() - begun);
        let end = begun + longest.min(rules.longest_stop.unwrap_or(longest)) + ENDED;
        let last = end - FLUSH;
        self.stopping.set(Some(last));
        let mut look = tokio::time::interval(LOOK);
        let mut linger = pin!(tokio::time::sleep(LINGER));
        loop {
            tokio::select! {
                _ = self.accept(&listeners) => {}
                _ = look.tick() => self.close_idle(),
                _ = &mut linger => break,
            }
        }
        // What the kernel has accepted is owed an answer: a backlog is emptied before it is closed, as there is room.
        let mut listeners: Vec<_> = listeners.into_iter().flat_map(TcpListener::into_std).collect();
        // A client that holds a connection open with half of a request, or reads nothing, does not keep the program.
        // What is open is given up once, and then there is the time for the answers' way, or some turns of the loop at
        // least: a program that slept over all of this may find its end behind it already.
        let mut over: Option<Time> = None;
        loop {
            let now = self.host.clock.now();
            if over.is_none() && now >= last {
                over = Some(now + FLUSH); // what came later had no more time than until now
                self.host.give_up(rules.max_retry_after);
            }
            self.close_idle();
            listeners.retain(|listener| !self.emptied(listener));
            if self.clients() + self.lingering.get() == 0 && listeners.is_empty() {
                return;
            }
            if over.is_some_and(|over| now >= over) {
                for _ in 0..TURNS {
                    tokio::task::yield_now().await;
                }
                return;
            }
            let _ = tokio::time::timeout(LOOK, self.left.notified()).await;
        }
    }

    /// Takes in what waits at a listener, as far as there is room for it: whether that was all.
    fn emptied(self: &Rc<Self>, listener: &std::net::TcpListener) -> bool {
        while self.clients() < self.max + OVER_BOUND {
            match listener.accept() {
                Ok((stream, _)) => {
                    let tcp = stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream));
                    tcp.into_iter().for_each(|tcp| self.take_in(tcp));
                }
                Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => return true,
                Err(e) if e.kind() == std::io::ErrorKind::ConnectionAborted => {} // a client that left in the queue
                Err(_) => {
                    let _ = self.close_longest_idle() || self.host.make_room();
                    return false; // out of descriptors: after the next that leaves
                }
            }
        }
        false
    }

    /// While the program stops: those on which no request has begun to come are closed, but for new ones. Those that
    /// wait for an answer end with it.
    fn close_idle(&self) {
        let now = self.host.clock.now();
        let idle = |c: &&Rc<Client>| !c.busy.get() && (c.answered.get() || now - c.since.get() >= NEW);
        self.clients.borrow().values().filter(idle).for_each(|c| c.close.notify_one());
    }

    async fn accept(self: &Rc<Self>, listeners: &[TcpListener]) {
        while self.clients() >= self.max + OVER_BOUND {
            // They were accepted in one go: none of them was read yet, and each may have a request.
            for _ in 0..TURNS {
                while self.staying() > self.max && self.close_longest_idle() {}
                if self.staying() <= self.max {
                    break;
                }
                tokio::task::yield_now().await;
            }
            // Those that were told to leave have to be given the time: telling more makes no room sooner.
            let _ = tokio::time::timeout(Duration::from_millis(20), self.left.notified()).await;
        }
        match any(listeners, self.next.get()).await {
            Ok((tcp, _)) => self.take_in(tcp),
            Err(e) => {
                // Out of descriptors, or a client that left in the queue: never the end of the program.
                let made_room = self.close_longest_idle() || self.host.make_room();
                let now = self.host.clock.now();
                if now - self.told.get() >= ACCEPT_LOG {
                    self.told.set(now);
                    warn!("accept: {e}; {} clients, {} upstreams", self.clients(), self.host.upstreams());
                }
                if !made_room || e.kind() != std::io::ErrorKind::ConnectionAborted {
                    tokio::time::sleep(Duration::from_millis(5)).await;
                }
            }
        }
    }

    /// The one that was idle longest leaves, but before it one that never sent a whole request, or whose body keeps
    /// others waiting: at once where such hold many of the places, else when it had time to.
    fn close_longest_idle(&self) -> bool {
        let now = self.host.clock.now();
        let clients = self.clients.borrow();
        let few = self.unproven() <= self.max / UNPROVEN_PART;
        let young = |c: &Client| now - c.since.get() < FIRST_PATIENCE;
        let lags = |c: &Client| {
            let at_once = !few && !c.proven.get();
            c.coming.get().is_some_and(|since| at_once || now - since >= FIRST_PATIENCE)
        };
        let may_go = |c: &Client| (!c.busy.get() || lags(c)) && !c.leaving.get();
        let later = |c: &Client| match c.coming.get() {
            Some(since) => (false, since),
            None => (c.proven.get() || few && young(c), c.since.get()),
        };
        // What nobody has read yet may be a whole request.
        let coming = |c: &Client| c.stream.stirred() && (c.proven.get() || young(c) || c.stream.unread());
        // The kernel is asked of one candidate after the other, and not of all clients: a system call for each of
        // some hundred clients at each eviction took all the processor time that there was.
        let mut candidates: Vec<_> = clients.values().filter(|c| may_go(c)).collect();
        candidates.sort_by_key(|c| later(c));
        let first = candidates.into_iter().find(|c| !coming(c));
        let Some(client) = first else { return false };
        self.evicted.set(self.evicted.get() + 1);
        client.leave(); // another call at the same moment chooses another
        match client.coming.get() {
            Some(_) => client.turn.notify_one(), // it is told why
            None => client.close.notify_one(),
        }
        true
    }

    fn take_in(self: &Rc<Self>, tcp: TcpStream) {
        if self.staying() >= self.max {
            self.close_longest_idle();
        }
        self.accepted.set(self.accepted.get() + 1);
        let key = self.next.get();
        self.next.set(key + 1);
        let (stream, since) = (Stream::new(tcp), Cell::new(self.host.clock.now()));
        let client = Rc::new(Client::new(stream, since, self.staying.clone()));
        self.clients.borrow_mut().insert(key, client.clone());
        let server = self.clone();
        tokio::task::spawn_local(async move {
            let whole = server.serve(&client).await;
            client.leave();
            server.clients.borrow_mut().remove(&key);
            server.left.notify_one();
            if whole && client.last.get() {
                server.linger(&client).await;
            }
        });
    }

    /// Its last answer is on its way: it holds no place any more, but is not reset at once for what its client sent
    /// behind its request. That could take the answer along.
    async fn linger(&self, client: &Client) {
        if self.lingering.get() < LINGERING {
            self.lingering.set(self.lingering.get() + 1);
            let _ = tokio::time::timeout(DRAIN, client.stream.drained()).await;
            self.lingering.set(self.lingering.get() - 1);
            self.left.notify_one();
        }
    }

    /// Whether it ended after its last answer, all of which was written.
    async fn serve(self: &Rc<Self>, client: &Rc<Client>) -> bool {
        let service = service_fn(|request| async {
            client.busy.set(true);
            let answer = self.answer(client, request).await;
            client.answered.set(true);
            client.last.set(answer.headers().contains_key(CONNECTION));
            client.since.set(self.host.clock.now());
            client.stream.mark_idle();
            client.busy.set(false);
            Ok::<_, Infallible>(answer)
        });
        let mut builder = http1::Builder::new();
        builder.max_buf_size(MAX_HEAD).timer(Timer).header_read_timeout(span(self.rules().head_timeout));
        let mut conn = pin!(builder.serve_connection(client.stream.clone(), service));
        let mut cut = pin!(tokio::time::sleep(Duration::MAX));
        loop {
            tokio::select! {
                ended = conn.as_mut() => return ended.is_ok(),
                // Asked as the time is up: a request that came since then is owed its answer, and that its way out.
                _ = cut.as_mut(), if client.leaving.get() => {
                    if !client.busy.get() && span(self.host.clock.now() - client.since.get()) >= CLOSE_PATIENCE {
                        return false;
                    }
                    cut.as_mut().reset(tokio::time::Instant::now() + CLOSE_PATIENCE);
                }
                _ = client.close.notified() => {
                    if client.leaving.get() {
                        cut.as_mut().reset(tokio::time::Instant::now() + CLOSE_PATIENCE);
                    }
                    let idle = !client.busy.get() && !client.stream.unread();
                    if client.leaving.get() && !client.proven.get() && idle {
                        return false; // nothing is owed on it
                    }
                    // A request that has just come is answered first; `answer` then ends the connection.
                    if client.busy.get() || !client.stream.stirred() {
                        conn.as_mut().graceful_shutdown();
                    }
                }
            }
        }
    }

    async fn answer(
        self: &Rc<Self>, client: &Rc<Client>, request: Request<Incoming>,
    ) -> Response<Full<Bytes>> {
        let (mut end, rules) = (false, self.rules());
        let (head, body) = request.into_parts();
        let answer = match (check_target(&head), head.uri.path()) {
            (Err(fault), _) => Err(fault),
            (Ok(()), "/-/ready") => ready(client, &rules, &head, &body),
            (Ok(()), _) => self.proxy(client, &rules, head, body).await,
        };
        let mut answer = answer.unwrap_or_else(|fault| {
            self.faults.set(self.faults.get() + 1);
            end = true; // what comes next on it may be no request at all
            let (status, text) = fault.answer(&rules);
            let mut answer = plain(status, text);
            if let Some(Ok(methods)) = fault.allow(&rules).map(HeaderValue::try_from) {
                answer.headers_mut().insert(ALLOW, methods);
            }
            answer
        });
        // Where many are kept their clients may have none left to ask on: each goes after its answer.
        let many = || self.staying.proven.get() > self.max / 2 || self.staying() > self.max;
        // One that was chosen to make room as its body came whole was served, and has no place any more.
        if end || client.is_leaving() || self.stopping.get().is_some() || many() {
            answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        answer
    }

    /// The body of a request, whole by then, and the room that it holds.
    async fn body(
        self: &Rc<Self>, client: &Rc<Client>, until: Time, body: Incoming,
    ) -> Result<(Bytes, Option<Coming>), Unread> {
        if body.is_end_stream() {
            return Ok((Bytes::new(), None));
        }
        let coming = Coming::new(self, client, &body)?;
        let whole = coming.whole(until, body).await;
        let count = match &whole {
            Err(Unread::NoRoom) => &self.crowded,
            Err(Unread::Fault(Fault::Slow)) => &self.slow,
            _ => return whole.map(|bytes| (bytes, Some(coming))),
        };
        count.set(count.get() + 1);
        whole.map(|bytes| (bytes, Some(coming)))
    }

    async fn proxy(
        self: &Rc<Self>, client: &Rc<Client>, rules: &Rules, head: Parts, body: Incoming,
    ) -> Result<Response<Full<Bytes>>, Fault> {
        let came = self.host.clock.now();
        let taken = read(rules, &head, &body)?;
        let deadline = came + Micros(taken.left.0.saturating_sub(self.host.margin().0));
        let until = came + taken.left.min(rules.body_timeout);
        let until = self.stopping.get().map_or(until, |last| until.min(last));
        let (body, _room) = match self.body(client, until, body).await {
            Ok(body) => body,
            Err(Unread::Fault(fault)) => return Err(fault),
            Err(Unread::NoRoom) => {
                let mut answer = refused(rules, CROWDED);
                answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
                return Ok(answer);
            }
        };
        // A client waits for its answer before it sends more: this one's length is wrong or hides a request.
        if client.stream.surplus(body.len()) {
            return Err(Fault::Length);
        }
        // Asked for now: the program may have been told to stop while the body came.
        let deadline = self.stopping.get().map_or(deadline, |last| deadline.min(last));
        let (tenant, key) = (taken.tenant_name, taken.key);
        let mut headers = head.headers;
        let arrival = Arrival {
            request: RequestId(0),
            class: taken.class,
            tenant: taken.tenant,
            time_left: deadline - self.host.clock.now(),
            work_hint: headers.get("x-weight-hint").and_then(number).map(|us| Micros(us as u64)),
            repeat: headers.get("x-repeat").is_some_and(|v| v == "1"),
            elsewhere: false,
        };
        strip_hop_by_hop(&mut headers);
        let id = match taken.id {
            Some(id) => id,
            None => {
                let id = self.give_id().ok_or(Fault::Id)?;
                headers.insert(rules.id.clone(), id.clone());
                id
            }
        };
        let origin = head.uri.path_and_query().map(|p| p.as_str().parse());
        let uri = origin.and_then(Result::ok).ok_or(Fault::Target)?;
        let size = body.len();
        let to = rules.directions.get(taken.route.0).ok_or(Fault::NoRoute)?;
        let effect = rules.classes[taken.class.0].effect;
        let call = Rc::new(Call {
            method: head.method,
            uri,
            headers,
            body,
            client: Some(client.stream.watch()),
            time_left: rules.time_left.clone(),
            answers: to.answers.clone(),
            got: RefCell::default(),
        });
        let _open = Open::new(&self.ids, id).ok_or(Fault::IdInUse)?;
        client.prove();
        self.latest.set(self.latest.get().max(deadline));
        let order = Order { arrival, effect, pools: to.pools.clone(), permit: false, recorded: false };
        let named = Named {
            tenant: tenant.as_deref().unwrap_or_default(),
            class: &rules.classes[taken.class.0].name,
            key: key.as_deref().map(str::as_bytes),
        };
        let (id, answer) = match self.host.request(order, named, call.clone()) {
            Ok(taken) => taken,
            Err(NotTaken::Record(verdict)) => return not_let_go(rules, verdict),
            Err(NotTaken::ClientClosed) => return Err(Fault::ClientClosed),
        };
        let mut owed = Owed { host: &self.host, id, open: true };
        let answer = tokio::select! {
            biased;
            answer = answer => answer,
            // As `owed` is dropped nothing of the request goes out any more.
            () = client.stream.deserted(size) => return Err(Fault::Length),
        };
        owed.open = false;
        let mut answer = match answer {
            Ok(answer) => rendered(rules, answer, &call, effect == Effect::Free),
            Err(_) => plain(StatusCode::GATEWAY_TIMEOUT, "timed out\n"),
        };
        // It was not there when the request was taken, and it came before the answer: see above.
        if client.stream.surplus(size) {
            answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        Ok(answer)
    }
}

/// The answer to a request that the record does not let go.
fn not_let_go(rules: &Rules, verdict: Verdict) -> Result<Response<Full<Bytes>>, Fault> {
    match verdict {
        Verdict::Refuse(after) => Ok(refused(rules, after)),
        Verdict::Conflict(conflict) => Ok(conflicting(conflict)),
        Verdict::KeyWanted | Verdict::Go { .. } => Err(Fault::Key),
        Verdict::KeyTooLong => Err(Fault::KeyTooLong),
    }
}

/// A key that is not sent, now or by another try: nothing was sent for this request, and it is no refusal.
fn conflicting(conflict: Conflict) -> Response<Full<Bytes>> {
    plain(
        StatusCode::CONFLICT,
        match conflict {
            Conflict::InFlight => "a request of this key is under way\n",
            Conflict::Doubt => "a request of this key may have run; an operator has to say whether it did\n",
            Conflict::Served => "a request of this key was served\n",
        },
    )
}

fn refused(rules: &Rules, after: Micros) -> Response<Full<Bytes>> {
    let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, "refused\n");
    if let Ok(advice) = HeaderValue::try_from(rules.advice(after)) {
        response.headers_mut().insert(RETRY_AFTER, advice);
    }
    response
}

/// The final answer as the client gets it.
fn rendered(rules: &Rules, answer: Answer, call: &Call, safe: bool) -> Response<Full<Bytes>> {
    if let (Some(conflict), Decision::Refused(_)) = (answer.conflict, answer.decision) {
        return conflicting(conflict);
    }
    let (last, got) = answer.attempt.and_then(|attempt| call.take(attempt)).unzip();
    match (gets(answer.decision, call.answers.errors, safe, last), got) {
        (Gets::Pass, Some(got)) => {
            let mut response = Response::new(Full::new(got.body));
            *response.status_mut() = got.status;
            *response.headers_mut() = got.headers;
            response
        }
        (Gets::Refuse(after), _) => refused(rules, after),
        (Gets::GatewayTimeout, _) => plain(StatusCode::GATEWAY_TIMEOUT, "timed out\n"),
        (Gets::BadGateway | Gets::Pass, _) => plain(StatusCode::BAD_GATEWAY, "failed\n"),
    }
}

/// The next connection of any of them. Who is asked first moves on with the count: one address to which connections
/// never cease to come does not keep the others' waiting.
async fn any(listeners: &[TcpListener], count: u64) -> std::io::Result<(TcpStream, SocketAddr)> {
    let (front, back) = listeners.split_at((count % listeners.len().max(1) as u64) as usize);
    std::future::poll_fn(|cx| {
        let mut each = back.iter().chain(front).map(|listener| listener.poll_accept(cx));
        each.find(Poll::is_ready).unwrap_or(Poll::Pending)
    })
    .await
}

fn ready(
    client: &Client, rules: &Rules, head: &Parts, body: &Incoming,
) -> Result<Response<Full<Bytes>>, Fault> {
    check_probe(rules, head, body)?;
    if client.stream.surplus(0) {
        return Err(Fault::Length);
    }
    Ok(plain(StatusCode::OK, "ready\n"))
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

/// Keeps the id of an open request from being used twice.
struct Open<'a> {
    ids: &'a RefCell<HashSet<HeaderValue>>,
    id: HeaderValue,
}

impl<'a> Open<'a> {
    fn new(ids: &'a RefCell<HashSet<HeaderValue>>, id: HeaderValue) -> Option<Open<'a>> {
        let fresh = ids.borrow_mut().insert(id.clone());
        fresh.then_some(Open { ids, id })
    }
}

impl Drop for Open<'_> {
    fn drop(&mut self) {
        self.ids.borrow_mut().remove(&self.id);
    }
}

/// The clock by which hyper ends connections whose heads do not come.
#[derive(Clone, Copy)]
struct Timer;

struct Sleep(Pin<Box<tokio::time::Sleep>>);

impl Future for Sleep {
    type Output = ();
    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        self.0.as_mut().poll(cx)
    }
}

impl hyper::rt::Sleep for Sleep {}

impl hyper::rt::Timer for Timer {
    fn sleep(&self, span: Duration) -> Pin<Box<dyn hyper::rt::Sleep>> {
        Box::pin(Sleep(Box::pin(tokio::time::sleep(span))))
    }
    fn sleep_until(&self, at: Instant) -> Pin<Box<dyn hyper::rt::Sleep>> {
        Box::pin(Sleep(Box::pin(tokio::time::sleep_until(at.into()))))
    }
}

fn plain(status: StatusCode, text: impl Into<Bytes>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(text.into()));
    *response.status_mut() = status;
    response
}

#[cfg(test)]
mod tests;
