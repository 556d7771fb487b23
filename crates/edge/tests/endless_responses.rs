//! An engine that sends bytes without end in response to a call.
//!
//! Guards against responses that are held until the process ends by its memory. The program has one test only, as it watches the
//! memory of its process.

use std::net::SocketAddr;
use std::time::Duration;

use dalestand_edge::{Engine as _, HttpEngine};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpListener;

/// Memory that control may take at a node.
const CONTROL_MEMORY_MB: usize = 64;

const CALLS: usize = 16;

static PART: [u8; 1 << 16] = [b' '; 1 << 16];

/// An engine that responds with a chunk without end.
async fn endless_engine() -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a port");
    let address = listener.local_addr().expect("an address");
    actix_rt::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            actix_rt::spawn(async move {
                let _ = stream.read(&mut [0; 4_096]).await;
                let head = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nffffffffff\r\n";
                let mut written = stream.write_all(head).await;
                while written.is_ok() {
                    written = stream.write_all(&PART).await;
                }
            });
        }
    });
    address
}

/// Memory of this process in use, in MB.
fn resident_mb() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").expect("a status");
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.trim().strip_suffix(" kB"));
    let kilobytes = kilobytes.and_then(|text| text.parse::<usize>().ok());
    kilobytes.expect("a size") >> 10
}

#[actix_rt::test]
async fn responses_of_engines_without_end_are_held_within_the_memory_for_control() {
    let address = endless_engine().await;
    let before = resident_mb();
    let calls: Vec<_> = (0..CALLS)
        .map(|_| actix_rt::spawn(async move { HttpEngine::new(address).load().await.is_err() }))
        .collect();
    let mut peak = before;
    while !calls.iter().all(actix_rt::task::JoinHandle::is_finished) {
        actix_rt::time::sleep(Duration::from_millis(2)).await;
        peak = peak.max(resident_mb());
    }
    for call in calls {
        assert!(call.await.expect("an end"), "an endless response is none");
    }
    println!("{} MB", peak - before);
    assert!(peak - before < CONTROL_MEMORY_MB, "{} MB", peak - before);
}
