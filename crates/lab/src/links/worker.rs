//! A thread that serves links, with a runtime of its own.

use std::io;
use std::thread::JoinHandle;
use tokio::runtime::{Builder, Handle};
use tokio::sync::oneshot;

/// The thread; it and all its tasks end when this is dropped.
#[derive(Debug)]
pub(super) struct Worker {
    handle: Handle,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Worker {
    pub fn start(nth: usize) -> io::Result<Worker> {
        let runtime = Builder::new_current_thread().enable_all().build()?;
        let handle = runtime.handle().clone();
        let (stop, stopped) = oneshot::channel::<()>();
        let thread = std::thread::Builder::new().name(format!("links-{nth}")).spawn(move || {
            // An error says that the owner is gone, which is the same.
            let _ = runtime.block_on(stopped);
        })?;
        Ok(Worker { handle, stop: Some(stop), thread: Some(thread) })
    }

    pub fn handle(&self) -> &Handle {
        &self.handle
    }
}

impl Drop for Worker {
    fn drop(&mut self) {
        drop(self.stop.take());
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
