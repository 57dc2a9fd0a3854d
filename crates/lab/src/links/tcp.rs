//! TCP links: a listener, and for each accepted connection one to the target, with a copy loop each way.

use super::fault::Cut;
use super::link::{Opened, Shared};
use super::pump::{flows, pump, reset_on_drop, Reset};
use super::ConnectionLimit;
use socket2::{Domain, SockRef, Socket, Type};
use std::collections::BTreeSet;
use std::io;
use std::net::{SocketAddr, TcpListener as StdListener};
use std::sync::atomic::Ordering::Relaxed;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::timeout;

/// Maximum number of connections of one link; further ones are reset.
pub const MAX_CONNECTIONS: u64 = 1024;
/// Connect timeout to a target.
pub const DIAL_PATIENCE: Duration = Duration::from_secs(30);
/// Listen backlog.
const BACKLOG: i32 = 1024;
/// Delay before a failed listen or accept is retried.
const RELISTEN: Duration = Duration::from_millis(20);

/// What a link does with new connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AcceptMode {
    Open,
    /// Nothing listens: the kernel refuses them.
    Refusing,
    /// Connection attempts get no answer.
    Silent,
}

/// The address of a link, which stays reserved while nothing listens there.
pub(super) struct ReservedAddress {
    address: SocketAddr,
    _reservation: Socket,
}

impl ReservedAddress {
    /// Reserves that address; the kernel picks the port if it is 0.
    ///
    /// # Errors
    /// The address could not be bound.
    pub fn new(wanted: SocketAddr) -> io::Result<ReservedAddress> {
        let reservation = bound(wanted)?;
        let address = reservation.local_addr()?.as_socket().ok_or(io::ErrorKind::AddrNotAvailable)?;
        Ok(ReservedAddress { address, _reservation: reservation })
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    pub fn listen(&self) -> io::Result<Arc<TcpListener>> {
        let socket = bound(self.address)?;
        socket.listen(BACKLOG)?;
        TcpListener::from_std(StdListener::from(socket)).map(Arc::new)
    }
}

/// Whether it still listens: a cut with a reset stops it.
fn listens(listener: &Arc<TcpListener>) -> bool {
    SockRef::from(&**listener).is_listener().unwrap_or(false)
}

fn bound(address: SocketAddr) -> io::Result<Socket> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    // The reservation and the listener share the address; without a listener the kernel refuses connections.
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    Ok(socket)
}

/// A silent listener: its queue is filled by one connection of its own, whereupon the kernel drops attempts.
struct Silence {
    filler: Socket,
}

impl Silence {
    fn begin(listener: &TcpListener, address: SocketAddr) -> io::Result<Silence> {
        SockRef::from(listener).listen(0)?;
        let filler = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
        filler.set_nonblocking(true)?;
        // In progress, or refused by a full queue: either is fine.
        let _ = filler.connect(&address.into());
        Ok(Silence { filler })
    }

    /// Listens again, unless a reset cut stopped the listener meanwhile. If the filler is in the queue: its
    /// address, to recognise it by when it is accepted.
    fn end(self, listener: &Arc<TcpListener>) -> io::Result<Option<SocketAddr>> {
        if !listens(listener) {
            return Ok(None);
        }
        SockRef::from(&**listener).listen(BACKLOG)?;
        let stands = self.filler.peer_addr().is_ok();
        Ok(if stands { self.filler.local_addr()?.as_socket() } else { None })
    }
}

fn accept_mode(shared: &Shared) -> AcceptMode {
    let lines = shared.core.lines();
    let cuts = [lines[0].fault().cut, lines[1].fault().cut];
    if shared.refusing.load(Relaxed) || cuts.contains(&Cut::Reset) {
        AcceptMode::Refusing
    } else if cuts.contains(&Cut::Silent) {
        // An attempt needs both directions.
        AcceptMode::Silent
    } else {
        AcceptMode::Open
    }
}

/// The task of a TCP link; its connections end with it.
pub(super) struct LinkTask {
    shared: Arc<Shared>,
    reserved: ReservedAddress,
    connection_limit: Arc<ConnectionLimit>,
    fillers: BTreeSet<SocketAddr>,
    connections: JoinSet<()>,
}

impl LinkTask {
    pub fn new(
        shared: Arc<Shared>, reserved: ReservedAddress, connection_limit: Arc<ConnectionLimit>,
    ) -> LinkTask {
        LinkTask { shared, reserved, connection_limit, fillers: BTreeSet::new(), connections: JoinSet::new() }
    }

    /// Listens according to the faults. The first listener is created by the caller, so that the link works at once.
    pub async fn run(mut self, first: Arc<TcpListener>) {
        let mut listener = Some(first);
        let mut changes = self.shared.core.changes();
        loop {
            let mode = accept_mode(&self.shared);
            if mode == AcceptMode::Refusing {
                listener = None;
                self.fillers.clear();
                let _ = changes.changed().await;
                continue;
            }
            let Ok(open) = listener.take().filter(listens).map_or_else(|| self.reserved.listen(), Ok) else {
                tokio::time::sleep(RELISTEN).await;
                continue;
            };
            self.shared.core.listens_at(&open);
            if mode == AcceptMode::Silent {
                self.stay_silent(&open, &mut changes).await;
            } else {
                self.take_next(&open, &mut changes).await;
            }
            listener = Some(open);
        }
    }

    async fn stay_silent(&mut self, listener: &Arc<TcpListener>, changes: &mut watch::Receiver<()>) {
        let silence = Silence::begin(listener, self.reserved.address);
        while accept_mode(&self.shared) == AcceptMode::Silent {
            let _ = changes.changed().await;
        }
        let filler = silence.and_then(|silence| silence.end(listener));
        self.fillers.extend(filler.ok().flatten());
    }

    async fn take_next(&mut self, listener: &TcpListener, changes: &mut watch::Receiver<()>) {
        tokio::select! {
            _ = changes.changed() => {}
            Some(_) = self.connections.join_next() => {}
            taken = listener.accept() => match taken {
                Ok((client, address)) => self.take(client, address),
                // Usually out of descriptors: other connections have to end first.
                Err(_) => tokio::time::sleep(RELISTEN).await,
            },
        }
    }

    fn take(&mut self, client: TcpStream, address: SocketAddr) {
        if self.fillers.remove(&address) {
            return;
        }
        let counts = &self.shared.counts;
        let permit = self.connection_limit.acquire();
        if permit.is_none() || counts.open.load(Relaxed) >= MAX_CONNECTIONS {
            counts.failed.fetch_add(1, Relaxed);
            let _ = reset_on_drop(&client);
            return;
        }
        let shared = self.shared.clone();
        let opened = shared.counts.accepted.fetch_add(1, Relaxed);
        self.connections.spawn(async move {
            let _permit = permit;
            serve(&shared, client, opened).await;
        });
    }
}

/// Serves a connection from its acceptance to its end.
async fn serve(shared: &Shared, client: TcpStream, nth: u64) {
    let counts = &shared.counts;
    let _open = Opened::new(counts);
    let resets = shared.core.resets();
    let Some(target) = dial(shared, resets).await else {
        counts.failed.fetch_add(1, Relaxed);
        let _ = reset_on_drop(&client);
        return;
    };
    let _ = (client.set_nodelay(true), target.set_nodelay(true));
    let [forth, back] = flows(&shared.core, nth);
    let forth = pump(forth, &client, &target, resets);
    let back = pump(back, &target, &client, resets);
    if let Err(reset) = tokio::try_join!(forth, back) {
        news_passes(shared, reset, resets).await;
        counts.reset.fetch_add(1, Relaxed);
        let _ = (reset_on_drop(&client), reset_on_drop(&target));
    }
}

/// Waits out a silent cut of the direction over which a reset has to be propagated.
async fn news_passes(shared: &Shared, reset: Reset, resets: u64) {
    let Some(way) = reset.news_over else { return };
    let mut changes = shared.core.changes();
    let cut = || shared.core.lines()[way as usize].holds();
    while cut() && shared.core.resets() == resets {
        let _ = changes.changed().await;
    }
}

/// The connection to the target, begun when no cut is in force; a cut with a reset ends it.
async fn dial(shared: &Shared, resets: u64) -> Option<TcpStream> {
    let mut changes = shared.core.changes();
    while accept_mode(shared) == AcceptMode::Silent {
        let _ = changes.changed().await;
    }
    let target = shared.target();
    let socket = if target.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }.ok()?;
    // If it is dropped midway it ends with a reset, as the client's connection does.
    SockRef::from(&socket).set_linger(Some(Duration::ZERO)).ok()?;
    let dialling = timeout(DIAL_PATIENCE, socket.connect(target));
    tokio::pin!(dialling);
    while shared.core.resets() == resets {
        tokio::select! {
            dialled = &mut dialling => {
                let stream = dialled.ok()?.ok()?;
                SockRef::from(&stream).set_linger(None).ok()?;
                return Some(stream);
            }
            _ = changes.changed() => {}
        }
    }
    None
}
