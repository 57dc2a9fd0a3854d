//! Runs the front until it is told to stop, and the graceful stop.

use crate::accept::{OVER_BOUND, TURNS};
use crate::connection::Client;
use crate::server::Server;
use shaletide_balancer::{Micros, Time};
use std::future::Future;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

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
}
