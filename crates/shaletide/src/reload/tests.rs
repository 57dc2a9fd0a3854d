//! Tests of `reload` that need its private items.

use super::*;
use std::sync::mpsc as blocking;
use std::sync::Mutex;

type Outcome = Result<&'static str, &'static str>;

/// A read that waits for its outcome: the name of a proxy, or an error.
type PendingRead = blocking::Sender<Outcome>;

fn setup(name: &str) -> Setup {
    let text = format!(
        "[proxy]\nname = \"{name}\"\n[[listener]]\naddress = \"127.0.0.1:80\"\n[[class]]\nname = \"a\"\n\
         [[pool]]\nname = \"p\"\nboxes = [\"127.0.0.1:1\"]\n"
    );
    let operator = shaletide_config::operator::read("test.toml", &text).expect("a sound file");
    Setup::from_file(operator, String::new())
}

/// Returns a reader whose reads wait for the test, and the reads in the order in which they began.
fn reader() -> (Reader, Arc<Setup>, blocking::Receiver<PendingRead>) {
    let (begun_tx, begun) = blocking::channel();
    let begun_tx = Mutex::new(begun_tx);
    let read_configuration = move |_: &Setup| -> Result<Setup, String> {
        let (outcome, wait) = blocking::channel::<Outcome>();
        begun_tx.lock().unwrap().send(outcome).unwrap();
        match wait.recv() {
            Ok(Ok(name)) => Ok(setup(name)),
            Ok(Err(why)) => Err(why.to_string()),
            Err(_) => panic!("the test makes the read fail"),
        }
    };
    (Reader::new(Arc::new(read_configuration)), Arc::new(setup("running")), begun)
}

fn with_runtime<T>(work: impl std::future::Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async { tokio::time::timeout(Duration::from_secs(20), work).await }).expect("an end")
}

/// Returns and finishes the next result: when it was requested, and its proxy's name or the error.
async fn next_result(reader: &mut Reader, running: &Arc<Setup>) -> (Instant, Result<String, String>) {
    let ReadResult { number, requested_at, result } = reader.next(running).await;
    let result = result.map(|setup| setup.operator.proxy.name);
    reader.finish(number, requested_at, result.clone().map(drop));
    (requested_at, result)
}

#[test]
fn invalid_file_is_read_again_without_another_signal() {
    with_runtime(async {
        let (mut reader, running, begun) = reader();
        reader.hangup(&running);
        let files: [Outcome; 3] = [Err("empty"), Err("half"), Ok("whole")];
        let script = std::thread::spawn(move || {
            files.iter().for_each(|outcome| begun.recv().unwrap().send(*outcome).unwrap());
            begun
        });
        let mut request_times = Vec::new();
        for outcome in files {
            let (since, read) = next_result(&mut reader, &running).await;
            assert_eq!(read.is_ok(), outcome.is_ok(), "{read:?}");
            request_times.push(since);
        }
        let _begun = script.join().unwrap();
        assert!(
            request_times.iter().all(|since| *since == request_times[0]),
            "all reads count from the signal"
        );
        assert!(reader.next_retry.is_none());
    });
}

#[test]
fn invalid_file_is_given_up_after_six_readings() {
    with_runtime(async {
        let (mut reader, running, begun) = reader();
        reader.hangup(&running);
        let script = std::thread::spawn(move || {
            // The reader itself panics, which counts as an invalid file.
            (0..=RETRY_PAUSES_MS.len()).for_each(|_| drop::<PendingRead>(begun.recv().unwrap()));
            begun
        });
        for _ in 0..=RETRY_PAUSES_MS.len() {
            assert!(next_result(&mut reader, &running).await.1.is_err());
        }
        let begun = script.join().unwrap();
        assert!(reader.next_retry.is_none() && begun.try_recv().is_err());
        assert!(
            RETRY_PAUSES_MS.iter().sum::<u64>() < 2000,
            "the list of a new discovery counts as known after 4 s"
        );
    });
}

#[test]
fn later_sighup_restarts_retries_and_keeps_the_first_request_time() {
    with_runtime(async {
        let (mut reader, running, begun) = reader();
        reader.hangup(&running);
        begun.recv().unwrap().send(Err("half")).unwrap();
        let first = next_result(&mut reader, &running).await.0;
        assert_eq!(reader.retries, 1);
        reader.hangup(&running);
        assert_eq!((reader.retries, reader.next_retry), (0, None), "read at once, and with all retries left");
        begun.recv().unwrap().send(Ok("whole")).unwrap();
        assert_eq!(next_result(&mut reader, &running).await, (first, Ok("whole".into())));
        reader.hangup(&running);
        begun.recv().unwrap().send(Ok("later")).unwrap();
        assert!(next_result(&mut reader, &running).await.0 > first);
    });
}

#[test]
fn sighup_is_handled_while_earlier_readings_hang() {
    with_runtime(async {
        let (mut reader, running, begun) = reader();
        reader.hangup(&running);
        let hangs = begun.recv().unwrap();
        reader.hangup(&running);
        begun.recv().unwrap().send(Ok("second")).unwrap();
        assert_eq!(next_result(&mut reader, &running).await.1, Ok("second".into()));
        reader.hangup(&running);
        let third = begun.recv().unwrap();
        hangs.send(Ok("first")).unwrap();
        third.send(Ok("third")).unwrap();
        assert_eq!(
            next_result(&mut reader, &running).await.1,
            Ok("third".into()),
            "not the first, which is older"
        );
    });
}

#[test]
fn concurrent_readings_are_bounded() {
    with_runtime(async {
        let (mut reader, running, begun) = reader();
        let mut hanging = Vec::new();
        for _ in 0..MAX_CONCURRENT_READS {
            reader.hangup(&running);
            hanging.push(begun.recv().unwrap());
        }
        reader.hangup(&running);
        reader.hangup(&running);
        assert_eq!(reader.reads_in_progress, MAX_CONCURRENT_READS);
        assert!(begun.try_recv().is_err());
        hanging.remove(1).send(Err("old")).unwrap();
        assert!(next_result(&mut reader, &running).await.1.is_err());
        begun.recv().unwrap().send(Ok("last")).unwrap();
        assert_eq!(next_result(&mut reader, &running).await.1, Ok("last".into()));
        assert!(reader.next_retry.is_none() && begun.try_recv().is_err(), "two postponed reads are one");
    });
}
