//! Readers of the log that are quick, slow or absent.

use super::*;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::thread::spawn;

/// A reader that takes nothing before it is let, and then passes all on.
struct Held {
    begin: Receiver<()>,
    begun: bool,
    taken: Sender<Vec<u8>>,
}

impl Write for Held {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if !self.begun {
            self.begin.recv().map_err(io::Error::other)?;
            self.begun = true;
        }
        self.taken.send(bytes.to_vec()).map_err(io::Error::other)?;
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn held() -> (Arc<Queue>, Sender<()>, Receiver<Vec<u8>>, std::thread::JoinHandle<()>) {
    let (queue, (begin, begins), (taken, takes)) = (Arc::new(Queue::default()), channel(), channel());
    let lines = queue.clone();
    let out = Held { begin: begins, begun: false, taken };
    (queue, begin, takes, spawn(move || lines.write_to(out)))
}

#[test]
fn lines_are_written_in_their_order_and_the_last_before_the_end() {
    let (queue, begin, takes, thread) = held();
    begin.send(()).unwrap();
    let lines: Vec<String> = (0..5_000).map(|n| format!("line {n}\n")).collect();
    lines.iter().for_each(|line| queue.push(line.as_bytes()));
    queue.close();
    thread.join().unwrap();
    assert_eq!(String::from_utf8(takes.iter().flatten().collect()).unwrap(), lines.concat());
}

#[test]
fn a_reader_that_takes_nothing_holds_up_nobody_and_lines_beyond_the_bound_are_counted() {
    let (queue, begin, takes, thread) = held();
    let line = [&[b'x'; 1_023][..], b"\n"].concat();
    let (fits, beyond) = (MAX_WAITING / line.len(), 500);
    // The first is with the reader, and takes no room in the queue.
    queue.push(&line);
    while !queue.state().writing {
        std::thread::yield_now();
    }
    (0..fits + beyond).for_each(|_| queue.push(&line));
    let state = queue.state();
    assert_eq!((state.waiting.len(), state.lost), (MAX_WAITING, beyond as u64));
    drop(state);
    begin.send(()).unwrap();
    while !queue.state().waiting.is_empty() {
        std::thread::yield_now();
    }
    queue.push(b"last\n");
    queue.close();
    thread.join().unwrap();
    let text = String::from_utf8(takes.iter().flatten().collect()).unwrap();
    assert!(text.ends_with("x\n500 lines of the log are lost\nlast\n"));
    assert_eq!(text.lines().count(), 1 + fits + 2);
}

#[test]
fn the_end_waits_for_a_reader_no_longer_than_the_bound() {
    let (queue, begin, _takes, thread) = held();
    queue.push(b"line\n");
    let started = std::time::Instant::now();
    queue.close();
    assert!(started.elapsed() >= LAST_LINES, "{:?}", started.elapsed());
    drop(begin);
    thread.join().unwrap();
}
