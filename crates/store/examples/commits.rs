//! Measures the commits per second, grouped and one by one, and the duration of a commit: `cargo run --release -p
//! shaletide-store --example commits [DIRECTORY]`. The figures depend on the disk of the directory.

use std::path::Path;
use std::sync::mpsc::channel;
use std::sync::Arc;
use std::time::{Duration, Instant};

use shaletide_record::{chain, KeyState, Write};
use shaletide_store::conformance::{key, set, take};
use shaletide_store::{SqliteOptions, SqliteStore, Store, Writer, WriterConfig, WriterEvent};

const ROUNDS: usize = 5;
const SINGLE_COMMITS: usize = 2_000;
const GROUPED_COMMITS: usize = 20_000;

fn intent(name: String) -> Vec<Write> {
    let mut write = take(1, &key(name));
    write.row.body = "x".repeat(200);
    vec![write]
}

/// Returns the commits per second of a writer with this many callers, and how long each request waited. A caller sends its
/// next request when the previous one is committed.
fn run_writer(db: &Path, callers: usize, count: usize, batch_rows: usize) -> (f64, Vec<Duration>) {
    let options = SqliteOptions::new(db);
    let (sender, events) = channel();
    let config = WriterConfig { batch_rows, ..WriterConfig::new(1) };
    let opener =
        Box::new(move |_| SqliteStore::open(&options).map(|store| Box::new(store) as Box<dyn Store>));
    let notify = Box::new(move |event| sender.send(event).unwrap_or(()));
    let writer = Writer::start(config, opener, Arc::new(chain::sum), notify).expect("a thread");
    assert!(matches!(events.recv(), Ok(WriterEvent::Back { .. })));
    let mut sent = vec![Instant::now(); count];
    let began = Instant::now();
    let send = |n: usize, sent: &mut Vec<Instant>| {
        sent[n] = Instant::now();
        writer.send(n as u64, intent(format!("key-{n}"))).expect("queued");
    };
    (0..callers).for_each(|n| send(n, &mut sent));
    let mut waits = Vec::with_capacity(count);
    for next in callers..count + callers {
        let Ok(WriterEvent::Committed { ticket, .. }) = events.recv() else { panic!("not committed") };
        waits.push(sent[ticket as usize].elapsed());
        if next < count {
            send(next, &mut sent);
        }
    }
    let rate = count as f64 / began.elapsed().as_secs_f64();
    writer.stop(Duration::from_secs(60)).expect("stops");
    (rate, waits)
}

/// Returns the durations of consecutive commits of this many rows, without a writer thread.
fn commits(db: &Path, rows: usize, count: usize) -> Vec<Duration> {
    let mut store = SqliteStore::open(&SqliteOptions::new(db)).expect("opens");
    let each = (0..count).map(|n| {
        let batch: Vec<Write> =
            (0..rows).map(|row| set(1, &key(format!("{n}-{row}")), KeyState::Served)).collect();
        let began = Instant::now();
        store.commit(&batch, &chain::sum).expect("commits");
        began.elapsed()
    });
    each.collect()
}

fn quantiles(mut times: Vec<Duration>) -> String {
    times.sort();
    let at = |part: f64| times[((times.len() - 1) as f64 * part) as usize].as_secs_f64() * 1e3;
    format!("p50 {:.2} ms, p99 {:.2} ms, worst {:.2} ms", at(0.5), at(0.99), at(1.0))
}

fn main() {
    let base = std::env::args().nth(1).map_or_else(std::env::temp_dir, Into::into);
    let directory = base.join(format!("shaletide-commits-{}", std::process::id()));
    std::fs::create_dir_all(&directory).expect("a directory");
    let mut ratios = Vec::new();
    for round in 0..ROUNDS {
        let file = |name: &str| directory.join(format!("{name}-{round}.db"));
        let (single, _) = run_writer(&file("single"), 64, SINGLE_COMMITS, 1);
        let (grouped, waits) = run_writer(&file("grouped"), 64, GROUPED_COMMITS, 256);
        ratios.push(grouped / single);
        println!(
            "64 callers: one by one {single:.0}/s, grouped {grouped:.0}/s, ratio {:.1}",
            grouped / single
        );
        println!("  wait, grouped: {}", quantiles(waits));
        let (one_caller, waits) = run_writer(&file("alone"), 1, SINGLE_COMMITS, 256);
        println!("1 caller: {one_caller:.0}/s; {}", quantiles(waits));
    }
    ratios.sort_by(f64::total_cmp);
    println!("grouped to one by one, median ratio: {:.1}", ratios[ROUNDS / 2]);
    for rows in [1, 10, 100] {
        println!(
            "a commit of {rows} rows: {}",
            quantiles(commits(&directory.join(format!("rows-{rows}.db")), rows, 2_000))
        );
    }
    std::fs::remove_dir_all(&directory).expect("removed");
}
