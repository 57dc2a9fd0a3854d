//! Runs the front until it is told to stop, and the graceful stop.

use crate::accept::{EXTRA_CONNECTIONS, READ_TURNS};
use crate::connection::Client;
use crate::server::Server;
use shaletide_balancer::{Micros, Time};
use std::future::Future;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// After SIGTERM new connections go on coming for up to 0.4 s.
const ACCEPT_AFTER_STOP: Duration = Duration::from_millis(500);
/// The program has ended so long after the longest deadline, counted from SIGTERM: SIGKILL comes 0.2 s later at the
/// soonest, which a loaded core may take for the last steps.
const STOP_MARGIN: Micros = Micros(500_000);
/// And of that is kept for the last answers' way out.
const FLUSH_TIME: Micros = Micros(100_000);
/// While the program stops, connections on which there is nothing to wait for are looked for so often.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// One that has just been accepted is about to bring a request.
const NEW_CONNECTION_GRACE: Micros = Micros(300_000);

impl Server {
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
        let longest = rules.longest().max(self.latest_deadline.get() - begun);
        let end = begun + longest.min(rules.longest_stop.unwrap_or(longest)) + STOP_MARGIN;
        let last = end - FLUSH_TIME;
        self.stop_deadline.set(Some(last));
        let mut look = tokio::time::interval(IDLE_CHECK_INTERVAL);
        let mut linger = pin!(tokio::time::sleep(ACCEPT_AFTER_STOP));
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
                over = Some(now + FLUSH_TIME); // what came later had no more time than until now
                self.host.give_up(rules.max_retry_after);
            }
            self.close_idle();
            listeners.retain(|listener| !self.drain_backlog(listener));
            if self.clients() + self.lingering.get() == 0 && listeners.is_empty() {
                return;
            }
            if over.is_some_and(|over| now >= over) {
                for _ in 0..READ_TURNS {
                    tokio::task::yield_now().await;
                }
                return;
            }
            let _ = tokio::time::timeout(IDLE_CHECK_INTERVAL, self.connection_ended.notified()).await;
        }
    }

    /// Takes in what waits at a listener, as far as there is room for it: whether that was all.
    fn drain_backlog(self: &Rc<Self>, listener: &std::net::TcpListener) -> bool {
        while self.clients() < self.max_clients + EXTRA_CONNECTIONS {
            match listener.accept() {
                Ok((stream, _)) => {
                    let tcp = stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream));
                    tcp.into_iter().for_each(|tcp| self.admit(tcp));
                }
                Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => return true,
                Err(e) if e.kind() == std::io::ErrorKind::ConnectionAborted => {} // a client that left in the queue
                Err(_) => {
                    let _ = self.evict_one() || self.host.make_room();
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
        let idle = |c: &&Rc<Client>| {
            !c.busy.get() && (c.answered.get() || now - c.idle_since.get() >= NEW_CONNECTION_GRACE)
        };
        self.clients.borrow().values().filter(idle).for_each(|c| c.close_requested.notify_one());
    }
}
