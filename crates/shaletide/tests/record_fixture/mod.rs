//! Writes a store of record as a proxy does: with the recorder and SQLite, a simulated clock and no proxy process.
#![allow(dead_code)] // each test program uses a part of it

use shaletide_record::*;
use shaletide_store::{SqliteOptions, SqliteStore, Store, StoreReader};
use shaletide_types::{AttemptNumber, Micros, Outcome, RequestId, Time};
use std::collections::VecDeque;
use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};

/// 2026-12-01, 10:31:02.123 in UTC.
pub const MORNING: Time = Time(1_796_121_062_123_000);
pub const MS: u64 = 1_000;

/// A temporary folder, which is removed when dropped.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new() -> Folder {
        static COUNT: AtomicU32 = AtomicU32::new(0);
        let name =
            format!("shaletide-record-{}-{}", std::process::id(), COUNT.fetch_add(1, Ordering::Relaxed));
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir(&path).unwrap();
        Folder(path)
    }
    pub fn db(&self) -> PathBuf {
        self.0.join("record.db")
    }
    /// Runs `shaletide record` in the folder with times in UTC.
    pub fn run(&self, arguments: &[&str]) -> Output {
        let mut command = Command::new(env!("CARGO_BIN_EXE_shaletide"));
        command.arg("record").args(arguments).current_dir(&self.0).env_remove("NODE_CONFIG").env("TZ", "UTC");
        command.stdin(Stdio::null()).output().unwrap()
    }
    /// Runs `shaletide record`, checks its exit status and returns stdout followed by stderr. Only a failure may write to
    /// stderr.
    pub fn expect_output(&self, status: i32, arguments: &[&str]) -> String {
        let output = self.run(arguments);
        let text = |bytes: &[u8]| String::from_utf8(bytes.to_vec()).expect("text");
        let (stdout, stderr) = (text(&output.stdout), text(&output.stderr));
        assert_eq!(output.status.code(), Some(status), "{arguments:?}\n{stdout}\n{stderr}");
        assert_eq!(stderr.is_empty(), status == 0, "{stderr}");
        stdout + &stderr
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A recorder whose actions are applied to its store at once.
pub struct RecordedStore {
    pub now: Time,
    recorder: Recorder,
    store: SqliteStore,
    run: u64,
    requests: u64,
    replies: Vec<ResolveResult>,
}

impl RecordedStore {
    pub fn open(path: &Path, now: Time) -> RecordedStore {
        let store = SqliteStore::open(&SqliteOptions::new(path)).unwrap();
        let run = store.head().unwrap().run + 1;
        let settle = ClassRule { requires_intent: true, without_key: WithoutKey::Reject };
        let bid = ClassRule { requires_intent: false, without_key: WithoutKey::Record };
        let classes = [("settle", settle), ("bid", bid)].map(|(name, rule)| (name.to_string(), rule));
        let bounds = Bounds { key_bytes: 1 << 20, ..Bounds::default() };
        let config = RecordConfig { classes: classes.into(), bounds, ..RecordConfig::default() };
        let keys = store.keys(None, usize::MAX).unwrap();
        let recorder = Recorder::new(config, [7; 16], now, now);
        let mut recorded = RecordedStore { now, recorder, store, run, requests: 0, replies: Vec::new() };
        let (proxy, version) = ("quay-1".into(), "0.1.0".into());
        recorded.handle_event(Event::RecordFact(Fact::Start {
            proxy,
            version,
            config: 1,
            digest: "5f1c9d".into(),
        }));
        let mut actions = Vec::new();
        recorded.recorder.restore(now, keys, &mut actions);
        recorded.apply_actions(actions);
        recorded
    }

    pub fn handle_event(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.recorder.handle(self.now, event, &mut actions);
        self.apply_actions(actions);
    }

    fn apply_actions(&mut self, actions: Vec<Action>) {
        let mut pending: VecDeque<Action> = actions.into();
        while let Some(action) = pending.pop_front() {
            match action {
                Action::Write { ticket, mut write } => {
                    write.row.run = self.run;
                    let sums = |before: &[u8; 32], row: &Row| chain::sum(before, row);
                    let row = self.store.commit(&[*write], &sums).unwrap().remove(0);
                    let event = match row {
                        Ok(seq) => Event::Committed { ticket, seq },
                        Err(why) => Event::ClaimRejected { ticket, why },
                    };
                    let mut more = Vec::new();
                    self.recorder.handle(self.now, event, &mut more);
                    pending.extend(more);
                }
                Action::Reply { result: resolved, .. } => self.replies.push(resolved),
                Action::IntentPersisted { .. } | Action::EndRequest { .. } => {}
            }
        }
    }

    pub fn advance_ms(&mut self, ms: u64) {
        self.now = self.now + Micros(ms * MS);
    }

    /// Begins a request; returns its id and the recorder's decision on its key.
    pub fn begin_request(&mut self, tenant: &str, class: &str, key: &[u8]) -> (RequestId, KeyDecision) {
        self.requests += 1;
        let request = RequestId(self.requests);
        let deadline = self.now + Micros(1_000 * MS);
        let key_request = KeyRequest { request, tenant, class, key: Some(key), deadline };
        let mut actions = Vec::new();
        let decision = self.recorder.decide(self.now, key_request, &mut actions);
        self.apply_actions(actions);
        (request, decision)
    }

    pub fn begin_settle(&mut self, tenant: &str, key: &[u8]) -> RequestId {
        let (request, decision) = self.begin_request(tenant, "settle", key);
        assert_eq!(decision, KeyDecision::Proceed { requires_intent: true });
        request
    }

    pub fn request_intent(&mut self, request: RequestId, attempt: u32, backend: &str) {
        let seen = BackendSnapshot {
            backend: backend.into(),
            pool: "new-boxes".into(),
            list: 41,
            state: "serving".into(),
            ready: true,
            in_flight: 2,
        };
        self.handle_event(Event::IntentRequested { request, attempt: AttemptNumber(attempt), seen });
    }

    pub fn end_attempt(&mut self, request: RequestId, attempt: u32, outcome: Outcome) {
        self.handle_event(Event::AttemptEnded { request, attempt: AttemptNumber(attempt), outcome });
    }

    pub fn end_request(&mut self, request: RequestId, ending: RequestEnding) {
        self.handle_event(Event::RequestEnded { request, ending });
    }

    /// Records a request that `box-2` serves.
    pub fn serve_request(&mut self, tenant: &str, key: &[u8]) {
        let request = self.begin_settle(tenant, key);
        self.request_intent(request, 0, "box-2");
        self.advance_ms(18);
        self.end_attempt(request, 0, Outcome::Ok);
        self.end_request(request, RequestEnding::Served(AttemptNumber(0)));
    }

    /// Records a request that stays in doubt: the connection to `box-7` is reset after the request was sent.
    pub fn leave_in_doubt(&mut self, tenant: &str, key: &[u8]) {
        let request = self.begin_settle(tenant, key);
        self.advance_ms(1);
        self.request_intent(request, 0, "box-7");
        self.advance_ms(214);
        self.end_attempt(request, 0, Outcome::Reset);
        self.end_request(request, RequestEnding::Failed);
    }

    pub fn resolve(&mut self, key: KeyId, ran: bool, by: &str, note: &str) -> ResolveResult {
        self.handle_event(Event::Resolve { reply: ReplyId(1), key, ran, by: by.into(), note: note.into() });
        self.replies.pop().expect("a reply")
    }
}

pub fn key(tenant: &str, key: &[u8]) -> KeyId {
    KeyId { tenant: tenant.into(), class: "settle".into(), key: key.into() }
}
