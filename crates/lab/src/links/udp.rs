//! UDP links: each sender has a socket of its own towards the target, so that replies are routed back to it.

use super::core::{Flow, Way};
use super::flow_queue::{Departure, FlowQueue};
use super::line::Line;
use super::link::{Opened, Shared};
use super::pump::wake;
use shaletide_types::Time;
use socket2::SockRef;
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::Ordering::Relaxed;
use std::sync::Arc;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

/// Maximum number of senders of a UDP link; the least recently active is evicted.
pub const MAX_SENDERS: usize = 256;
/// Maximum size of a datagram.
pub const MAX_DATAGRAM: usize = 65_535;
/// Capacity of the queue between the link's socket and a sender's task.
const MAX_QUEUED: usize = 64;

struct Sender {
    queue: mpsc::Sender<Vec<u8>>,
    heard: Time,
    task: JoinHandle<()>,
}

impl Drop for Sender {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// The task of a UDP link.
pub(super) struct LinkTask {
    shared: Arc<Shared>,
    socket: Arc<UdpSocket>,
    senders: BTreeMap<SocketAddr, Sender>,
}

impl LinkTask {
    pub fn new(shared: Arc<Shared>, socket: UdpSocket) -> LinkTask {
        LinkTask { shared, socket: Arc::new(socket), senders: BTreeMap::new() }
    }

    pub async fn run(mut self) {
        let mut buffer = vec![0; MAX_DATAGRAM];
        loop {
            // An error here reports an earlier datagram that was refused.
            if let Ok((count, from)) = self.socket.recv_from(&mut buffer).await {
                self.hand_on(from, buffer[..count].to_vec()).await;
            }
        }
    }

    async fn hand_on(&mut self, from: SocketAddr, datagram: Vec<u8>) {
        let now = self.shared.core.now();
        if self.senders.get(&from).is_none_or(|sender| sender.task.is_finished()) {
            let Some(sender) = self.welcome(from, now).await else { return self.overflow() };
            self.senders.insert(from, sender);
        }
        let Some(sender) = self.senders.get_mut(&from) else { return };
        sender.heard = now;
        if sender.queue.try_send(datagram).is_err() {
            self.overflow();
        }
    }

    fn overflow(&self) {
        self.shared.core.lines()[Way::Forth as usize].tally.overflowed += 1;
    }

    async fn welcome(&mut self, from: SocketAddr, now: Time) -> Option<Sender> {
        if self.senders.len() >= MAX_SENDERS {
            let longest =
                self.senders.iter().min_by_key(|(_, sender)| sender.heard).map(|(from, _)| *from)?;
            self.senders.remove(&longest);
        }
        let own: IpAddr = self.socket.local_addr().ok()?.ip();
        let towards = UdpSocket::bind((own, 0)).await.ok()?;
        let (queue, queued) = mpsc::channel(MAX_QUEUED);
        let nth = self.shared.counts.accepted.fetch_add(1, Relaxed);
        let (shared, socket) = (self.shared.clone(), self.socket.clone());
        let task = tokio::spawn(async move { serve(&shared, &socket, from, &towards, queued, nth).await });
        Some(Sender { queue, heard: now, task })
    }
}

/// Forwards the datagrams of one sender and their replies.
async fn serve(
    shared: &Shared, near: &UdpSocket, client: SocketAddr, far: &UdpSocket,
    mut queued: mpsc::Receiver<Vec<u8>>, nth: u64,
) {
    let _open = Opened::new(&shared.counts);
    let core = &shared.core;
    let [mut forth, mut back] = [Way::Forth, Way::Back].map(|way| {
        let queue = FlowQueue::datagrams(core.rng(&format!("sender {nth}"), way));
        Flow { core, way, queue }
    });
    let mut buffer = vec![0; MAX_DATAGRAM];
    loop {
        let due =
            flush(&mut forth, far, shared.target()).into_iter().chain(flush(&mut back, near, client)).min();
        tokio::select! {
            datagram = queued.recv() => match datagram {
                Some(datagram) => offer(&mut forth, datagram),
                None => return,
            },
            got = far.recv_from(&mut buffer) => match got {
                Ok((count, from)) if from == shared.target() => offer(&mut back, buffer[..count].to_vec()),
                // Another sender, or the report that an earlier datagram was refused.
                _ => {}
            },
            () = wake(core, due), if due.is_some() => {}
        }
    }
}

fn offer(flow: &mut Flow<'_>, datagram: Vec<u8>) {
    let mut lines = flow.core.lines();
    flow.queue.offer(flow.core.now(), &mut lines[flow.way as usize], datagram);
}

fn flush(flow: &mut Flow<'_>, by: &UdpSocket, to: SocketAddr) -> Option<Time> {
    let mut lines = flow.core.lines();
    let line = &mut lines[flow.way as usize];
    send_due(&mut flow.queue, flow.core.now(), line, by, to)
}

/// Sends what is due. When the next unit is due. The line stays locked, so that no fault is set meanwhile.
pub(super) fn send_due(
    flow_queue: &mut FlowQueue, now: Time, line: &mut Line, by: &UdpSocket, to: SocketAddr,
) -> Option<Time> {
    while let Some(departure) = flow_queue.take(now, line) {
        let Departure::Bytes(datagram) = departure else { continue };
        // Bypasses the runtime, which would first wait for the readiness of a new socket.
        match SockRef::from(by).send_to(&datagram, &to.into()) {
            Ok(wrote) => line.wrote(wrote, true),
            Err(_) => line.tally.overflowed += 1,
        }
    }
    flow_queue.due(line)
}
