//! Reads the configuration repeatedly until it is complete, on its own thread: a read may block on a pipe or a hanging disk,
//! and the event loop must handle signals meanwhile.

use super::configuration::SetupError;
use crate::setup::Setup;
use shaletide_net::{thread_channel, ThreadReceiver};
use std::io;
use std::sync::{mpsc, Arc};

/// Reads the configuration at the start.
pub type ReadFirst = Arc<dyn Fn() -> Result<Setup, SetupError> + Send + Sync>;

/// Reads on a thread that is started by the first read. The thread ends after this is dropped, once a blocked read has
/// returned.
pub struct ConfigurationReader {
    read: ReadFirst,
    thread: Option<ReaderThread>,
}

impl ConfigurationReader {
    pub fn new(read: ReadFirst) -> ConfigurationReader {
        ConfigurationReader { read, thread: None }
    }

    /// Reads once. To be called within the event loop's context.
    ///
    /// # Errors
    /// Why there is no configuration. A thread that cannot be started counts as an unfinished configuration.
    pub async fn read(&mut self) -> Result<Setup, SetupError> {
        let thread = match &mut self.thread {
            Some(thread) => thread,
            None => self.thread.insert(ReaderThread::start(self.read.clone()).map_err(thread_error)?),
        };
        thread.read().await
    }
}

fn thread_error(error: io::Error) -> SetupError {
    SetupError::Unfinished(format!("cannot start a thread to read the configuration: {error}"))
}

/// A handle to the reader thread.
struct ReaderThread {
    requests: mpsc::Sender<()>,
    results: ThreadReceiver<Result<Setup, SetupError>>,
}

impl ReaderThread {
    fn start(read: ReadFirst) -> io::Result<ReaderThread> {
        let (requests, requested) = mpsc::channel();
        let (sender, results) = thread_channel()?;
        let work = move || {
            while requested.recv().is_ok() {
                sender.send(read());
            }
        };
        std::thread::Builder::new().name("configuration".into()).spawn(work)?; // never joined: a read may block
        Ok(ReaderThread { requests, results })
    }

    async fn read(&mut self) -> Result<Setup, SetupError> {
        let _ = self.requests.send(()); // if the thread has failed, the results show it
        let result = self.results.recv().await;
        result.unwrap_or_else(|| Err(SetupError::Invalid("the configuration reader failed".into())))
    }
}
