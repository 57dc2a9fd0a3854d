use super::*;
use std::thread::sleep;

fn ignore_report(_: fmt::Arguments<'_>) {}

fn error(errno: Errno) -> io::Error {
    io::Error::from(errno)
}

#[test]
fn accept_failure_is_out_of_descriptors_only_for_emfile() {
    let connection = [
        Errno::CONNABORTED,
        Errno::INTR,
        Errno::NETDOWN,
        Errno::PROTO,
        Errno::NOPROTOOPT,
        Errno::HOSTDOWN,
        Errno::NONET,
        Errno::HOSTUNREACH,
        Errno::OPNOTSUPP,
        Errno::NETUNREACH,
        Errno::PERM,
    ];
    for errno in connection {
        assert_eq!(accept_failure(&error(errno)), AcceptFailure::Connection, "{errno:?}");
    }
    for errno in [Errno::NFILE, Errno::NOBUFS, Errno::NOMEM] {
        assert_eq!(accept_failure(&error(errno)), AcceptFailure::SystemShortage, "{errno:?}");
    }
    assert_eq!(accept_failure(&error(Errno::MFILE)), AcceptFailure::OutOfDescriptors);
}

#[test]
fn connect_failure_is_of_the_peer_unless_system_resources_are_short() {
    let shortages =
        [Errno::INTR, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM, Errno::ADDRNOTAVAIL, Errno::NOSPC];
    for errno in shortages {
        assert_eq!(connect_failure(&error(errno)), ConnectFailure::SystemShortage, "{errno:?}");
    }
    assert_eq!(connect_failure(&error(Errno::MFILE)), ConnectFailure::OutOfDescriptors);
    for errno in [Errno::CONNREFUSED, Errno::TIMEDOUT, Errno::HOSTUNREACH, Errno::NETUNREACH] {
        assert_eq!(connect_failure(&error(errno)), ConnectFailure::Peer, "{errno:?}");
    }
}

#[test]
fn interrupted_call_is_repeated_and_other_errors_are_returned() {
    let mut left = 3;
    let done = uninterrupted(|| {
        left -= 1;
        if left > 0 {
            return Err(error(Errno::INTR));
        }
        Ok(left)
    });
    assert_eq!(done.ok(), Some(0));
    let failed = uninterrupted(|| Err::<(), _>(error(Errno::TIMEDOUT)));
    assert_eq!(failed.err().and_then(|e| e.raw_os_error()), Some(Errno::TIMEDOUT.raw_os_error()));
}

#[test]
fn shortage_at_startup_is_retried_within_the_time_limit() {
    let mut calls = 0;
    let done = retry_shortage(Some(Duration::from_secs(20)), sleep, ignore_report, || {
        calls += 1;
        if calls < 3 {
            Err(error(Errno::NFILE))
        } else {
            Ok(())
        }
    });
    assert!(done.is_ok() && calls == 3);
    assert!(retry_shortage(Some(Duration::ZERO), sleep, ignore_report, || Err::<(), _>(error(
        Errno::NOBUFS
    )))
    .is_err());
    let mut refused = 0;
    let failed = retry_shortage(Some(Duration::from_secs(20)), sleep, ignore_report, || {
        refused += 1;
        Err::<(), _>(error(Errno::ACCESS))
    });
    assert!(failed.is_err() && refused == 1);
}

/// Guards against a startup that fails because the user's limit of epoll watches is reached (ENOSPC of epoll_ctl). The
/// shortage ends when other processes of the user close descriptors.
#[test]
fn exhausted_epoll_watches_at_startup_are_retried() {
    let mut calls = 0;
    let done = retry_shortage(Some(Duration::from_secs(20)), sleep, ignore_report, || {
        calls += 1;
        if calls < 3 {
            Err(error(Errno::NOSPC))
        } else {
            Ok(())
        }
    });
    assert!(done.is_ok() && calls == 3);
}

#[test]
fn system_errors_are_counted_by_call() {
    let errors = SystemErrors::default();
    for n in 0..3 {
        errors.log_and_count(Time(n), SystemCall::Accept, &error(Errno::NOBUFS));
    }
    errors.log_and_count(Time(9), SystemCall::Connect, &error(Errno::NETUNREACH));
    errors.count_only(SystemCall::Listen, &error(Errno::ADDRINUSE));
    assert_eq!((errors.count(SystemCall::Accept), errors.count(SystemCall::Connect)), (3, 1));
    assert_eq!(errors.to_string(), "Accept 3 Connect 1 Listen 1");
    assert_eq!(SystemErrors::default().to_string(), "none");
}

#[test]
fn listen_failure_may_pass_for_address_in_use_or_missing_and_for_shortage() {
    assert_eq!(listen_failure(&error(Errno::ADDRINUSE)), ListenFailure::AddressInUse);
    assert_eq!(listen_failure(&error(Errno::ADDRNOTAVAIL)), ListenFailure::AddressMissing);
    for errno in [Errno::INTR, Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM, Errno::NOSPC] {
        assert_eq!(listen_failure(&error(errno)), ListenFailure::SystemShortage, "{errno:?}");
    }
    for errno in [Errno::ACCESS, Errno::AFNOSUPPORT, Errno::INVAL, Errno::PERM] {
        assert!(!listen_failure(&error(errno)).may_pass(), "{errno:?}");
    }
}
