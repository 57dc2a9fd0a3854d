//! The record as held by the daemon: either in service, or waiting for its store to open.

use crate::opening::{may_open_later, OpeningAttempt, StoreContents};
use crate::service::STORE_RETRY_AFTER;
use crate::{RecordService, Run, StoreError};
use shaletide_net::{Driver, RequestRecorder};
use shaletide_record::{Event, KeyDecision, KeyRequest, RecordConfig};
use shaletide_types::{error_chain, Time};
use std::cell::RefCell;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tracing::{error, info};

/// How long the start waits for the store before it continues without it.
const MAX_START_WAIT: Duration = Duration::from_secs(6);
/// The pause after the first failed attempt to open the store. It doubles with each failure.
const FIRST_BACKOFF: Duration = Duration::from_millis(100);
/// The longest pause between two attempts to open the store.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// The configuration and the identity of the run that starts when the store opens.
#[derive(Clone)]
struct NextRun {
    config: RecordConfig,
    run: Run,
}

/// The record of one proxy.
pub struct Record {
    path: PathBuf,
    driver: Rc<Driver>,
    service: RefCell<Option<Rc<RecordService>>>,
    /// The settings of the next run; used only while there is no service.
    next: RefCell<NextRun>,
}

impl Record {
    /// Opens the store and starts the service. If the disk fails, continues without the store: requests that need the record
    /// are rejected, and opening is retried. Waits at most `MAX_START_WAIT` and does not block the event loop. A dropped
    /// future leaves the attempt running on its thread. Must be called within a `LocalSet`.
    ///
    /// # Errors
    /// Fails if the store cannot be opened without an operator, even if its disk recovers.
    pub async fn open(
        path: &Path, config: RecordConfig, driver: &Rc<Driver>, run: Run,
    ) -> Result<Rc<Record>, StoreError> {
        let record = Rc::new(Record {
            path: path.into(),
            driver: driver.clone(),
            service: RefCell::default(),
            next: RefCell::new(NextRun { config, run }),
        });
        match record.open_once().await {
            Ok(None) => {}
            Ok(Some(attempt)) => {
                error!(
                    "store: not open after {MAX_START_WAIT:?}: requests that need the record are rejected"
                );
                record.wait_for_store(Some(attempt));
            }
            Err(error) if may_open_later(&error) => {
                record.report_failure(&error);
                record.wait_for_store(None);
            }
            Err(error) => return Err(error),
        }
        Ok(record)
    }

    /// Opens the store and starts the service. Returns the attempt if it takes longer than [`MAX_START_WAIT`]. If the system
    /// provides no thread at present, that is handled like a failure of the disk.
    async fn open_once(&self) -> Result<Option<OpeningAttempt>, StoreError> {
        let mut attempt = OpeningAttempt::begin(self.path.clone())?;
        match tokio::time::timeout(MAX_START_WAIT, attempt.opening_result()).await {
            Ok(opened) => self.begin(opened?).map(|()| None),
            Err(_) => Ok(Some(attempt)),
        }
    }

    /// Returns the path of the store.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Returns the service, or `None` until the store is open.
    pub fn service(&self) -> Option<Rc<RecordService>> {
        self.service.borrow().clone()
    }

    /// Sets the configuration, with the digest of the file that it was read from.
    pub fn configure(&self, config: RecordConfig, digest: String) {
        match self.service() {
            Some(service) => service.configure(config, digest),
            None => {
                let mut next = self.next.borrow_mut();
                next.config = config;
                next.run.digest = digest;
            }
        }
    }

    fn begin(&self, contents: StoreContents) -> Result<(), StoreError> {
        let NextRun { config, run } = self.next.borrow().clone();
        let (service, writer_events) =
            RecordService::begin(&self.path, contents, config, self.driver.clock, run)?;
        service.attach_to(&self.driver);
        tokio::task::spawn_local(service.clone().process_events(writer_events));
        self.service.replace(Some(service));
        Ok(())
    }

    fn report_failure(&self, error: &StoreError) {
        error!(
            "store: {}: cannot open {}, requests that need the record are rejected: {}",
            error.code(),
            self.path.display(),
            error_chain(error)
        );
    }

    /// Rejects requests that need the record until the store opens. `attempt` is one that is in progress already.
    fn wait_for_store(self: &Rc<Record>, attempt: Option<OpeningAttempt>) {
        self.driver.set_recorder(self.clone());
        tokio::task::spawn_local(self.clone().retry_opening(attempt));
    }

    async fn retry_opening(self: Rc<Record>, mut attempt: Option<OpeningAttempt>) {
        let mut backoff = FIRST_BACKOFF;
        let mut reported = "";
        loop {
            let opened = self.next_opening(attempt.take()).await;
            match opened.and_then(|contents| self.begin(contents)) {
                Ok(()) => return info!("store: open, requests that need the record are accepted again"),
                // A failure is logged only if its code differs from that of the failure logged last.
                Err(error) if error.code() != reported => {
                    self.report_failure(&error);
                    reported = error.code();
                }
                Err(_) => {}
            }
            tokio::time::sleep(backoff).await;
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
    }

    /// Waits for the result of the attempt in progress, or of a new one if there is none.
    async fn next_opening(&self, attempt: Option<OpeningAttempt>) -> Result<StoreContents, StoreError> {
        let mut attempt = match attempt {
            Some(attempt) => attempt,
            None => OpeningAttempt::begin(self.path.clone())?,
        };
        attempt.opening_result().await
    }
}

/// The recorder used by the driver while the store is not open.
impl RequestRecorder for Record {
    /// Returns whether requests of that class have to be rejected. Classes that are only recorded are served, and their facts
    /// are lost meanwhile.
    fn records(&self, class: &str) -> bool {
        self.next.borrow().config.requires_intent(class)
    }

    fn decide(&self, _: Time, _: &KeyRequest<'_>) -> KeyDecision {
        KeyDecision::Reject(STORE_RETRY_AFTER)
    }

    fn on_event(&self, _: Time, _: Event) {}
}
