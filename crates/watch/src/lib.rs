//! Lists of backends, watched: the platform's agent, or a discovery that has to be asked. What comes is handed to
//! the host; what it means is the machines' to say.
#![forbid(unsafe_code)]

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::Request;
use shaletide_balancer::{Discovery, ListUpdate, PoolId};
use shaletide_membership::List;
use shaletide_net::{driven, BoxError, Host, Stream};
use std::cell::Cell;
use std::future::{poll_fn, Future};
use std::net::SocketAddr;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::Poll;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::sync::watch::Receiver;
use tracing::{info, warn};

/// How calls are made: what an outage leaves the proxy blind to is told once they are over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Pace {
    /// One call waits so long for news, from the shortest to the longest of all proxies.
    wait: [Duration; 2],
    /// What an answer's head may take beyond that before discovery counts as silent, and each further piece of it.
    prompt: Duration,
    /// And what one to a call that waits for nothing may take: as long as others' calls may be worked on before it, and
    /// longer once that was not enough.
    turn: [Duration; 2],
    /// Pause after the first failed call in a row, and at the least between two that brought nothing new; it
    /// doubles, three times at most.
    pause: Duration,
}

impl Pace {
    /// Calls of a discovery that all proxies ask are dear to it, and it works through them in turn. A watch that fell
    /// silent is opened anew before what it missed counts as told: 2 s after its wait is over, and the grace. Watches
    /// fall silent together, and calls made in one moment would wait for each other for longer than that: so no two
    /// proxies wait alike. A call in that line is not given up: it is worked on all the same, and one made in its
    /// place stands behind it. Discovery itself fails what has waited too long.
    fn asked(grace: Duration) -> Pace {
        let prompt = (grace / 2 + Duration::from_millis(400)).min(Duration::from_millis(1500));
        let (wait, turn) = ([6, 14].map(Duration::from_secs), [3, 6].map(Duration::from_secs));
        Pace { wait, prompt, turn, pause: Duration::from_millis(50) }
    }

    /// An agent on the own machine answers at once and at no cost. A call that was out as it fell silent is never
    /// answered, not even when it is back, and what it has counts as told meanwhile: so a wait, its answer's time
    /// and a pause last no longer than two thirds of the grace, and so do an answer's time and the longest pause.
    /// Below 170 ms of grace calls do not get any faster: they would cost more than they tell.
    fn pushed(grace: Duration) -> Pace {
        let part = |hundredths: u32, least: u64, most: u64| {
            (grace * hundredths / 100).clamp(Duration::from_millis(least), Duration::from_millis(most))
        };
        let (wait, prompt) = (part(35, 50, 1000), part(25, 40, 500));
        Pace { wait: [wait; 2], prompt, turn: [prompt; 2], pause: part(2, 5, 50) }
    }

    /// How long the so many-th call of a proxy waits. Multiples of the golden ratio lie evenly whatever their number:
    /// so do the ends of the calls of proxies that watch in step.
    fn wait(&self, position: u32, call: u32) -> Duration {
        let part = (f64::from(position) + f64::from(call)) * GOLDEN_RATIO;
        self.wait[0] + (self.wait[1] - self.wait[0]).mul_f64(part.fract())
    }

    /// What the answer to a call may take that waits for nothing, the last of which was given up unanswered or not.
    fn patience(&self, in_vain: bool) -> Duration {
        self.turn[usize::from(in_vain)]
    }
}

/// After a move what the new discovery has counts as told so much later.
const MOVED: Duration = Duration::from_secs(4);
/// The longest body of an answer, in bytes: 4 KiB for each of 1,024 backends, ten times what an indented entry takes.
/// A longer one is an answer that cannot be read, and the list stays as it is.
const MAX_LIST: usize = 4 * 1024 * 1024;
/// An answer whose head has come is whole after so long, however steadily its pieces come.
const MAX_TRANSFER: Duration = Duration::from_secs(3);
/// Its multiples, modulo 1, are spread evenly over the range from 0 to 1, however many they are.
const GOLDEN_RATIO: f64 = 0.618_033_988_749_895;
/// The pause after a failed call doubles so often at most.
const MAX_DOUBLINGS: u32 = 3;

/// What is known of a discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Terms {
    /// Whether it is to be asked.
    pub mode: Discovery,
    /// This proxy's number among all that watch it.
    pub position: u32,
    /// Nothing new may go to a box later than this after discovery has told that it drains or is gone.
    pub grace: Duration,
    /// What it has counts as told from the start, and soon after a move, heard or not: a list from before that
    /// is gone by no longer than the grace lasts.
    pub strict: bool,
}

/// Where discovery is, and since when: the start of the program, or the signal that moved it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Place {
    /// Where it listens.
    pub address: SocketAddr,
    /// What it has counts from then on, or soon after.
    pub since: Instant,
}

#[derive(Debug)]
enum WatchError {
    Connect(std::io::Error),
    Http(BoxError),
    Status(u16),
    Json(serde_json::Error),
    /// Changes, in answer to a call for the whole list.
    NotWhole,
    Ended,
    Silent,
}

impl std::fmt::Display for WatchError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            WatchError::Connect(e) => write!(f, "no connection: {e}"),
            WatchError::Http(e) => write!(f, "call broken: {e}"),
            WatchError::Status(code) => write!(f, "answered {code}"),
            WatchError::Json(e) => write!(f, "answer not understood: {e}"),
            WatchError::NotWhole => write!(f, "answered a call for the whole list with changes"),
            WatchError::Ended => write!(f, "connection ended"),
            WatchError::Silent => write!(f, "silent"),
        }
    }
}

impl std::error::Error for WatchError {}

struct Link {
    sender: http1::SendRequest<Empty<Bytes>>,
    conn: http1::Connection<Stream, Empty<Bytes>>,
}

/// Keeps the list up to date for as long as the program runs. When discovery moves the call that is out is
/// dropped at once, as it may wait for long. An index means nothing to another discovery: the list is taken
/// whole there.
///
/// Ends only by being dropped, which leaves the pool with the list that it has.
pub async fn watch(
    host: Rc<Host>, pool: PoolId, mut moved: Receiver<Place>, known: Option<u64>, terms: Terms,
) {
    // An agent's answers cost nothing: begin with the truth.
    let mut index = known.filter(|_| terms.mode != Discovery::Push);
    let heard = Cell::new(false);
    // Some of the grace is left for what is on its way.
    let mut until = moved.borrow().since + terms.grace * 3 / 4;
    loop {
        let at = moved.borrow_and_update().address;
        tokio::select! {
            _ = async { tokio::join!(follow(&host, pool, at, index, terms, &heard), expire(&host, pool, until, terms, &heard)) } => {}
            Ok(()) = moved.changed() => {
                let again = moved.borrow().since + MOVED + terms.grace * 3 / 4;
                until = if heard.replace(false) { again } else { until.min(again) };
                index = None;
            }
        }
    }
}

/// Takes all boxes out of use at that moment, unless discovery has been heard: it may have known for as long as the
/// grace lasts that they drain. Its first list brings back those that serve.
async fn expire(host: &Rc<Host>, pool: PoolId, until: Instant, terms: Terms, heard: &Cell<bool>) {
    if !terms.strict || terms.mode != Discovery::Push {
        return;
    }
    tokio::time::sleep_until(until.into()).await;
    if !heard.get() {
        warn!("discovery has not been heard: its list of before is too old to go by");
        host.members(pool, ListUpdate::Full, Vec::new());
    }
}

/// Follows one discovery for ever, from that index on or from the whole list.
async fn follow(
    host: &Rc<Host>, pool: PoolId, at: SocketAddr, from: Option<u64>, terms: Terms, heard: &Cell<bool>,
) {
    let Terms { mode, position, grace, .. } = terms;
    let asked = mode != Discovery::Push;
    let (mut whole, mut index) = (from.is_none(), from.unwrap_or(0));
    let (mut link, mut failures, mut waits, mut in_vain) = (None, 0u32, 0u32, false);
    let own = if asked { Pace::asked(grace) } else { Pace::pushed(grace) };
    // A call of the module's is answered once, by what it missed; only what follows waits for news.
    let mut catches_up = asked && !whole;
    if catches_up {
        host.followed(pool).await;
    }
    loop {
        let wait = if catches_up { Duration::ZERO } else { own.wait(position, waits) };
        let uri = match whole {
            true => "/api/targets".to_string(),
            false => format!("/api/targets?after={index}&wait_ms={}", wait.as_millis()),
        };
        let waits_for_news = !whole && !catches_up;
        waits = waits.wrapping_add(u32::from(waits_for_news));
        let patience = if waits_for_news { wait + own.prompt } else { own.patience(in_vain) };
        let asked_at = Instant::now();
        let times = CallTimes { head: patience, piece: own.prompt };
        let answer = fetch(&mut link, at, &uri, times).await.and_then(|list| fit(list, whole));
        in_vain = !waits_for_news && matches!(answer, Err(WatchError::Silent));
        match answer {
            Ok(list) => {
                if failures > 0 {
                    info!("discovery is back at {}", list.index);
                }
                let nothing_new = waits_for_news && list.index == index;
                (failures, catches_up) = (0, false);
                // Changes against a newer list than the answer's: discovery began anew, so take it whole.
                let gap = !list.snapshot && list.index < index;
                if !gap {
                    let update = if list.snapshot { ListUpdate::Full } else { ListUpdate::Changes };
                    tell(host, pool, update, &list);
                    heard.set(true);
                    index = list.index;
                }
                whole = gap;
                // One that does not wait for news, or goes back each time, is not asked as fast as it answers.
                if nothing_new || gap {
                    tokio::time::sleep(own.pause.saturating_sub(asked_at.elapsed())).await;
                }
            }
            Err(e) => {
                link = None;
                failures += 1;
                if failures.is_power_of_two() {
                    warn!("discovery failed: {e}");
                }
                // It may not know that version any more, nor ever again.
                whole |= matches!(e, WatchError::Status(..500));
                if asked {
                    forget(host.followed(pool)).await;
                    host.members(pool, ListUpdate::Lost, Vec::new());
                    host.followed(pool).await; // when to ask again is the module's to say
                } else {
                    tokio::time::sleep(own.pause * (1 << (failures - 1).min(MAX_DOUBLINGS))).await;
                }
                // Whether it is back shows at once.
                catches_up = true;
            }
        }
    }
}

/// A call for the whole list wants the whole list.
fn fit(list: List, whole: bool) -> Result<List, WatchError> {
    if whole && !list.snapshot {
        return Err(WatchError::NotWhole);
    }
    Ok(list)
}

/// The module may have asked for a call while one was out, or before the first: that one is made, and calls for no other
/// at once when it fails.
async fn forget(asked: impl Future<Output = ()>) {
    let mut asked = pin!(asked);
    let _ = poll_fn(|cx| Poll::Ready(asked.as_mut().poll(cx))).await;
}

/// Hands a list on. Of the entries that make no sense one is logged, with their number: a list may be long.
pub fn tell(host: &Rc<Host>, pool: PoolId, update: ListUpdate, list: &List) {
    let (entries, skipped) = list.entries();
    if let Some(skipped) = skipped {
        warn!("{} discovery entries skipped, the first: {:.400}", skipped.count, skipped.first);
    }
    host.list_version(pool, list.index);
    host.members(pool, update, entries);
}

/// What one call may take.
#[derive(Clone, Copy, Debug)]
struct CallTimes {
    /// From the call to the whole head of its answer.
    head: Duration,
    /// For a connection to come up, as until then no call waits anywhere; and between two pieces of an answer's body. A
    /// long list on a busy machine takes longer than its head may: it is waited for while it comes.
    piece: Duration,
}

/// One call.
async fn fetch(
    link: &mut Option<Link>, at: SocketAddr, uri: &str, times: CallTimes,
) -> Result<List, WatchError> {
    let head_by = tokio::time::Instant::now() + times.head;
    let mut live = match kept(link).await {
        Some(live) => live,
        None => {
            let connected = tokio::time::timeout(times.piece, TcpStream::connect(at)).await;
            let late = |_| std::io::Error::from(std::io::ErrorKind::TimedOut);
            let tcp = connected.map_err(late).and_then(|tcp| tcp).map_err(WatchError::Connect)?;
            let (sender, conn) = http1::handshake(Stream::new(tcp)).await.map_err(boxed)?;
            Link { sender, conn }
        }
    };
    let request = Request::get(uri).header("host", at.to_string()).body(Empty::new()).map_err(boxed)?;
    let Link { sender, conn } = &mut live;
    let head = async {
        sender.ready().await.map_err(boxed)?;
        sender.send_request(request).await.map_err(boxed)
    };
    let answer = async {
        let answer = tokio::time::timeout_at(head_by, head).await.map_err(silent)??;
        let status = answer.status().as_u16();
        let body = tokio::time::timeout(MAX_TRANSFER, collected(answer.into_body(), times.piece));
        Ok((status, body.await.map_err(silent)??))
    };
    let (status, body) = driven(conn, answer).await.unwrap_or(Err(WatchError::Ended))?;
    *link = Some(live);
    if status != 200 {
        return Err(WatchError::Status(status));
    }
    List::read(&body).map_err(WatchError::Json)
}

/// The whole body, no two pieces of which may lie further apart.
async fn collected(body: Incoming, apart: Duration) -> Result<Vec<u8>, WatchError> {
    let mut body = Limited::new(body, MAX_LIST);
    let mut bytes = Vec::new();
    while let Some(frame) = tokio::time::timeout(apart, body.frame()).await.map_err(silent)? {
        let frame = frame.map_err(WatchError::Http)?;
        bytes.extend_from_slice(frame.data_ref().map_or(&[], |piece| piece));
    }
    Ok(bytes)
}

/// The connection of the call before, unless it has ended: an answer may end it, and that shows when it is driven.
async fn kept(link: &mut Option<Link>) -> Option<Link> {
    let mut live = link.take()?;
    let over = poll_fn(|cx| Poll::Ready(Pin::new(&mut live.conn).poll(cx).is_ready())).await;
    (!over && !live.sender.is_closed()).then_some(live)
}

fn silent(_: tokio::time::error::Elapsed) -> WatchError {
    WatchError::Silent
}

fn boxed(e: impl Into<BoxError>) -> WatchError {
    WatchError::Http(e.into())
}

#[cfg(test)]
mod tests;
