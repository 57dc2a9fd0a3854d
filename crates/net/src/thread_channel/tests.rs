use super::*;

fn run<F: std::future::Future>(test: F) -> F::Output {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(test)
}

#[test]
fn values_of_several_threads_arrive_once_and_in_order_of_each_thread() {
    const THREADS: usize = 4;
    const VALUES: usize = 5_000; // more than the number of wake-ups that fit into the socket's buffer
    run(async {
        let (sender, mut receiver) = thread_channel().unwrap();
        for thread in 0..THREADS {
            let sender = sender.clone();
            std::thread::spawn(move || (0..VALUES).for_each(|value| sender.send((thread, value))));
        }
        drop(sender);
        let mut next = [0; THREADS];
        while let Some((thread, value)) = receiver.recv().await {
            assert_eq!(value, next[thread]);
            next[thread] += 1;
        }
        assert_eq!(next, [VALUES; THREADS]);
    });
}

#[test]
fn receiver_ends_when_last_sender_is_dropped() {
    run(async {
        let (sender, mut receiver) = thread_channel::<()>().unwrap();
        let second = sender.clone();
        drop(sender);
        std::thread::spawn(move || {
            std::thread::sleep(Duration::from_millis(20));
            drop(second);
        });
        assert_eq!(receiver.recv().await, None);
    });
}

#[test]
fn value_is_kept_while_no_receive_is_pending() {
    run(async {
        let (sender, mut receiver) = thread_channel().unwrap();
        tokio::select! {
            biased;
            _ = receiver.recv() => panic!("nothing was sent"),
            () = tokio::task::yield_now() => {}
        }
        std::thread::spawn(move || sender.send(7)).join().unwrap();
        assert_eq!(receiver.recv().await, Some(7));
    });
}

#[test]
fn send_after_receiver_is_dropped_does_nothing() {
    run(async {
        let (sender, receiver) = thread_channel().unwrap();
        drop(receiver);
        sender.send(1);
    });
}
