//! The fleet's thread: listeners, and commands from outside carried out one after the other.

use super::backend::Backend;
use super::connection::serve;
use super::spec::FleetSpec;
use super::{Door, Shared};
use crate::pacer::Pacer;
use crate::Fault;
use shaletide_types::Time;
use std::rc::Rc;
use std::sync::{mpsc, Arc};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::Notify;
use tokio::task::{spawn_local, JoinHandle};

/// What a backend is told from outside.
#[derive(Clone, Debug)]
pub enum Order {
    Set(Fault),
    Drain,
    Kill,
    Revive,
    /// Nothing: all that happened before is written down when this is done.
    Sync,
}

/// An order, the place of its backend, and where to say when it was carried out.
pub struct Command {
    pub place: usize,
    pub order: Order,
    pub done: mpsc::SyncSender<Time>,
}

struct Served {
    stand: Rc<Backend>,
    door: Door,
    /// Accepts connections; none while they are refused.
    listening: Option<JoinHandle<()>>,
}

impl Served {
    fn listen(&mut self) -> std::io::Result<()> {
        if self.listening.is_none() && self.stand.alive() {
            let listener = TcpListener::from_std(self.door.listen()?)?;
            self.listening = Some(spawn_local(accept(self.stand.clone(), listener)));
        }
        Ok(())
    }

    async fn refuse(&mut self) {
        if let Some(task) = self.listening.take() {
            task.abort();
            let _ = task.await; // the listener is closed then
        }
    }

    async fn carry_out(&mut self, order: Order, now: Time) -> Time {
        match order {
            Order::Set(Fault::Refuse) => self.refuse().await,
            Order::Set(Fault::Accept) => drop(self.listen()),
            Order::Set(fault) => {
                if fault == Fault::Cleared {
                    drop(self.listen());
                }
                self.stand.set(fault);
            }
            Order::Drain => return self.stand.drain(),
            Order::Kill => {
                self.refuse().await;
                let died = self.stand.die();
                while self.stand.open.get() > 0 {
                    tokio::task::yield_now().await;
                }
                return died;
            }
            Order::Revive => {
                self.stand.pump();
                let started = self.stand.start();
                drop(self.listen());
                return started;
            }
            Order::Sync => {}
        }
        now
    }
}

async fn accept(stand: Rc<Backend>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((tcp, _)) if stand.open.get() < stand.spec.max_connections => {
                stand.connected(true);
                spawn_local(serve(stand.clone(), tcp, stand.deaths.subscribe()));
            }
            Ok(_) => {}
            // Out of descriptors, or the connection is gone already: there is nothing to wait for.
            Err(_) => tokio::time::sleep(Duration::from_millis(5)).await,
        }
    }
}

/// Runs the backends until no more commands can come. Tells first whether all listen.
pub async fn run(
    fleet: FleetSpec, doors: Vec<Door>, shared: Arc<Shared>, mut commands: UnboundedReceiver<Command>,
    ready: mpsc::SyncSender<std::io::Result<()>>,
) {
    let (clock, fleet) = (fleet.clock, Rc::new(fleet));
    let mut boxes = Vec::new();
    let mut listen_all = Ok(());
    let changes: Vec<Arc<Notify>> = doors.iter().map(|_| Arc::new(Notify::new())).collect();
    let pacer = match Pacer::start(changes.clone()) {
        Ok(pacer) => Rc::new(pacer),
        Err(e) => return drop(ready.send(Err(e))),
    };
    for (place, (door, changed)) in doors.into_iter().zip(changes).enumerate() {
        let stand = Rc::new(Backend::new(&fleet, place, &shared, changed));
        spawn_local(stand.clone().run(pacer.clone()));
        let mut served = Served { stand, door, listening: None };
        listen_all = listen_all.and(served.listen());
        boxes.push(served);
    }
    let _ = ready.send(listen_all);
    while let Some(Command { place, order, done }) = commands.recv().await {
        let now = clock.now();
        if let Some(served) = boxes.get_mut(place) {
            let at = served.carry_out(order, now).await;
            let _ = done.send(at); // who gave it may have stopped waiting
        }
    }
}
