//! The fleet's thread: the listeners, and the commands of the handles, which are executed one after the other.

use super::backend::Backend;
use super::connection::serve;
use super::spec::FleetSpec;
use super::{ReservedAddress, Shared};
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

/// An action on a backend.
#[derive(Clone, Debug)]
pub enum Action {
    Set(Fault),
    Drain,
    Kill,
    Restart,
    /// No change. Once it is done, all that happened before is in the shared records.
    Sync,
}

/// An action, the index of its backend, and the channel on which the time of its execution is returned.
pub struct Command {
    pub index: usize,
    pub action: Action,
    pub done: mpsc::SyncSender<Time>,
}

struct HostedBackend {
    backend: Rc<Backend>,
    address: ReservedAddress,
    /// The task that accepts connections; `None` while they are refused.
    accept_task: Option<JoinHandle<()>>,
}

impl HostedBackend {
    fn listen(&mut self) -> std::io::Result<()> {
        if self.accept_task.is_none() && self.backend.is_alive() {
            let listener = TcpListener::from_std(self.address.listen()?)?;
            self.accept_task = Some(spawn_local(accept(self.backend.clone(), listener)));
        }
        Ok(())
    }

    async fn refuse(&mut self) {
        if let Some(task) = self.accept_task.take() {
            task.abort();
            let _ = task.await; // the listener is closed then
        }
    }

    async fn execute(&mut self, action: Action, now: Time) -> Time {
        match action {
            Action::Set(Fault::Refuse) => self.refuse().await,
            Action::Set(Fault::Accept) => drop(self.listen()),
            Action::Set(fault) => {
                if fault == Fault::Cleared {
                    drop(self.listen());
                }
                self.backend.apply_fault(fault);
            }
            Action::Drain => return self.backend.drain(),
            Action::Kill => {
                self.refuse().await;
                let died = self.backend.kill();
                while self.backend.open_connections.get() > 0 {
                    tokio::task::yield_now().await;
                }
                return died;
            }
            Action::Restart => {
                self.backend.advance();
                let started = self.backend.restart();
                drop(self.listen());
                return started;
            }
            Action::Sync => {}
        }
        now
    }
}

async fn accept(backend: Rc<Backend>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((tcp, _)) if backend.open_connections.get() < backend.spec.max_connections => {
                backend.count_connection(true);
                spawn_local(serve(backend.clone(), tcp, backend.deaths.subscribe()));
            }
            Ok(_) => {}
            // No descriptor is left, or the connection is closed already. No event reports an end of the shortage.
            Err(_) => tokio::time::sleep(Duration::from_millis(5)).await,
        }
    }
}

/// Runs the backends until all senders of commands are dropped. Reports first whether all backends listen.
pub async fn run(
    fleet: FleetSpec, addresses: Vec<ReservedAddress>, shared: Arc<Shared>,
    mut commands: UnboundedReceiver<Command>, ready: mpsc::SyncSender<std::io::Result<()>>,
) {
    let (clock, fleet) = (fleet.clock, Rc::new(fleet));
    let mut hosted = Vec::new();
    let mut listen_all = Ok(());
    let notifies: Vec<Arc<Notify>> = addresses.iter().map(|_| Arc::new(Notify::new())).collect();
    let pacer = match Pacer::start(notifies.clone()) {
        Ok(pacer) => Rc::new(pacer),
        Err(e) => return drop(ready.send(Err(e))),
    };
    for (index, (address, schedule_changed)) in addresses.into_iter().zip(notifies).enumerate() {
        let backend = Rc::new(Backend::new(&fleet, index, &shared, schedule_changed));
        spawn_local(backend.clone().run(pacer.clone()));
        let mut host = HostedBackend { backend, address, accept_task: None };
        listen_all = listen_all.and(host.listen());
        hosted.push(host);
    }
    let _ = ready.send(listen_all);
    while let Some(Command { index, action, done }) = commands.recv().await {
        let now = clock.now();
        if let Some(host) = hosted.get_mut(index) {
            let done_at = host.execute(action, now).await;
            let _ = done.send(done_at); // the sender of the command may have timed out
        }
    }
}
