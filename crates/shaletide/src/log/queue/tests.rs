//! Tests of the queue.

use super::*;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

/// Every wait with a limit ends within this time, even on a loaded machine.
const PATIENCE: Duration = Duration::from_secs(20);

/// The bytes written so far, readable from other threads.
#[derive(Clone, Default)]
struct Written(Arc<Mutex<Vec<u8>>>);

impl Written {
    fn text(&self) -> String {
        let bytes = self.0.lock().unwrap_or_else(PoisonError::into_inner).clone();
        String::from_utf8(bytes).unwrap()
    }
}

impl Write for Written {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).extend(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// A device whose writes block until the sender is dropped.
struct BlockedDevice(Receiver<()>);

impl Write for BlockedDevice {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let _ = self.0.recv();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Guards against losing the last lines of a program.
#[test]
fn all_lines_are_written_in_order_before_the_guard_is_dropped() {
    let written = Written::default();
    let output = written.clone();
    let (mut writer, guard) = start("log", 1_000, move || output).unwrap();
    let expected: String = (0..500).map(|number| format!("line {number}\n")).collect();
    for line in expected.split_inclusive('\n') {
        writer.write_all(line.as_bytes()).unwrap();
    }
    drop(guard);
    assert_eq!(written.text(), expected);
}

/// Guards against a program that waits for a blocked device when it logs or when it ends.
#[test]
fn blocked_device_delays_neither_logging_nor_the_end() {
    let (release, blocked) = bounded(0);
    let (mut writer, guard) = start("log", 4, move || BlockedDevice(blocked)).unwrap();
    let begun = Instant::now();
    for _ in 0..1_000 {
        writer.write_all(b"line\n").unwrap();
    }
    drop(guard);
    assert!(begun.elapsed() < PATIENCE);
    drop(release);
}

/// Guards against a start that waits until the log's thread is scheduled.
#[test]
fn start_does_not_wait_for_the_thread() {
    let (release, blocked) = bounded::<()>(0);
    let (returned, has_returned) = bounded(1);
    std::thread::spawn(move || {
        let open = move || {
            let _ = blocked.recv();
            io::sink()
        };
        let started = start("log", 4, open).unwrap();
        returned.send(()).unwrap();
        drop(started);
    });
    assert_eq!(has_returned.recv_timeout(PATIENCE), Ok(()));
    drop(release);
}

/// A device that writes one line for each permit.
struct SlowDevice {
    permits: Receiver<()>,
    written: Written,
}

impl Write for SlowDevice {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let _ = self.permits.recv();
        self.written.write(bytes)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// An entry of a log text: the number of a `line N`, or a reported count of lost lines.
#[derive(Debug, PartialEq, Eq)]
enum LogEntry {
    Line(u64),
    Lost(u64),
}

fn entries(text: &str) -> Vec<LogEntry> {
    let number = |line: &str| line.split(' ').find_map(|word| word.parse().ok()).expect("a number");
    let to_entry = |line: &str| match line.starts_with("line ") {
        true => LogEntry::Line(number(line)),
        false => LogEntry::Lost(number(line)),
    };
    text.lines().map(to_entry).collect()
}

/// Returns the number of written and lost lines; asserts that each is at its place.
fn count_in_order(text: &str) -> u64 {
    let entries = entries(text);
    let mut next = 0;
    for entry in &entries {
        match entry {
            LogEntry::Line(number) => {
                assert_eq!(*number, next, "{entries:?}");
                next += 1;
            }
            LogEntry::Lost(count) => next += count,
        }
    }
    next
}

/// Guards against dropped lines that are not reported, and against a report at a place where no line is missing.
#[test]
fn lines_dropped_by_a_full_queue_are_counted_where_they_are_missing() {
    let (permit, permits) = bounded(0);
    let written = Written::default();
    let output = SlowDevice { permits, written: written.clone() };
    let (mut writer, guard) = start("log", 4, move || output).unwrap();
    let mut write = |numbers: std::ops::Range<u64>| {
        for number in numbers {
            writer.write_all(format!("line {number}\n").as_bytes()).unwrap();
        }
    };
    write(0..100);
    for _ in 0..2 {
        permit.send(()).unwrap();
    }
    write(100..200);
    drop(permit);
    let begun = Instant::now();
    while count_in_order(&written.text()) < 200 {
        assert!(begun.elapsed() < PATIENCE, "{:?}", entries(&written.text()));
        std::thread::sleep(Duration::from_millis(2));
    }
    drop(guard);
    assert_eq!(count_in_order(&written.text()), 200);
}

/// Guards against counts of lost lines that take the place of the lines behind them: a reader that frees room for one line at
/// a time would get nothing but counts.
#[test]
fn count_of_lost_lines_takes_no_place_in_the_queue() {
    /// The thread has received the next message within this time if it writes no count before it.
    const TAKE_TIME: Duration = Duration::from_millis(5);
    let (permit, permits) = bounded(0);
    let written = Written::default();
    let output = SlowDevice { permits, written: written.clone() };
    let (mut writer, guard) = start("log", 4, move || output).unwrap();
    let mut number = 0;
    for _ in 0..100 {
        for _ in 0..2 {
            writer.write_all(format!("line {number}\n").as_bytes()).unwrap();
            number += 1;
        }
        while writer.queue.is_full() {
            permit.send(()).unwrap();
            let permitted_at = Instant::now();
            while writer.queue.is_full() && permitted_at.elapsed() < TAKE_TIME {
                std::thread::yield_now();
            }
        }
    }
    drop(permit);
    drop(guard);
    let entries = entries(&written.text());
    let lines = entries.iter().filter(|entry| matches!(entry, LogEntry::Line(_))).count();
    assert!(lines >= 40, "{lines} lines of {} written", entries.len()); // each with a count before it
}
