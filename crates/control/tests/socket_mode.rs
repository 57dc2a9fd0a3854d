//! Tests the socket's mode while several threads of one process bind sockets. The test has its own file because the umask is
//! shared by the whole process.

use shaletide_control::ControlServer;
use std::os::unix::fs::PermissionsExt;
use std::path::PathBuf;
use std::sync::Barrier;

const THREADS: usize = 4;
const BINDS: usize = 500;

fn umask() -> String {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    status.lines().find(|line| line.starts_with("Umask:")).unwrap().to_string()
}

/// Binds a socket repeatedly in a folder used by this thread only, and checks its mode each time.
async fn bind_repeatedly(folder: PathBuf) {
    std::fs::create_dir(&folder).unwrap();
    let path = folder.join("socket");
    for _ in 0..BINDS {
        let control = ControlServer::bind(&path).unwrap();
        let mode = path.symlink_metadata().unwrap().permissions().mode();
        drop(control);
        assert_eq!(mode & 0o777, 0o600);
    }
    std::fs::remove_dir_all(&folder).unwrap();
}

#[test]
fn sockets_bound_by_several_threads_are_private_and_the_umask_is_restored() {
    let umask_before = umask();
    let start = Barrier::new(THREADS);
    std::thread::scope(|scope| {
        for thread in 0..THREADS {
            let start = &start;
            scope.spawn(move || {
                let name = format!("shaletide-control-mode-{}-{thread}", std::process::id());
                let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
                start.wait();
                runtime.block_on(bind_repeatedly(std::env::temp_dir().join(name)));
            });
        }
    });
    assert_eq!(umask(), umask_before);
}
