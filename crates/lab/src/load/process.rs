//! Processor time and memory of a process, from the kernel's process files.

use std::io;
use std::time::Duration;

/// What a process has used so far.
#[derive(Clone, Copy, Debug)]
pub(super) struct ProcessUsage {
    /// Processor time of its threads, user and system.
    pub(super) processor: Duration,
    /// Resident memory, in KiB.
    pub(super) memory_kib: u64,
}

impl ProcessUsage {
    /// Reads the usage of process `pid`. Threads that have ended are left out, so it suits
    /// processes that keep their threads.
    pub(super) fn read(pid: u32) -> io::Result<Self> {
        let mut processor = Duration::ZERO;
        for thread in std::fs::read_dir(format!("/proc/{pid}/task"))? {
            let text = std::fs::read_to_string(thread?.path().join("schedstat"))?;
            processor += running_time(&text).ok_or(io::ErrorKind::InvalidData)?;
        }
        let status = std::fs::read_to_string(format!("/proc/{pid}/status"))?;
        let memory_kib = resident_kib(&status).ok_or(io::ErrorKind::InvalidData)?;
        Ok(Self {
            processor,
            memory_kib,
        })
    }
}

/// The first number of `schedstat`: time on a processor, in nanoseconds.
fn running_time(schedstat: &str) -> Option<Duration> {
    let nanoseconds = schedstat.split_whitespace().next()?.parse().ok()?;
    Some(Duration::from_nanos(nanoseconds))
}

fn resident_kib(status: &str) -> Option<u64> {
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}
