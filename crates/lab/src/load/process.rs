//! Processor time and memory of a process, from `/proc`.

use std::io;
use std::time::Duration;

/// Resource usage of a process.
#[derive(Clone, Copy, Debug)]
pub(super) struct ProcessUsage {
    /// User and system processor time of the live threads.
    pub(super) cpu_time: Duration,
    /// Resident memory, in KiB.
    pub(super) memory_kib: u64,
}

impl ProcessUsage {
    /// Reads the usage of process `pid`. The processor time of ended threads is not included.
    pub(super) fn read(pid: u32) -> io::Result<Self> {
        let mut cpu_time = Duration::ZERO;
        for thread in std::fs::read_dir(format!("/proc/{pid}/task"))? {
            let text = std::fs::read_to_string(thread?.path().join("schedstat"))?;
            cpu_time += cpu_time_of_thread(&text).ok_or(io::ErrorKind::InvalidData)?;
        }
        let status = std::fs::read_to_string(format!("/proc/{pid}/status"))?;
        let memory_kib = resident_kib(&status).ok_or(io::ErrorKind::InvalidData)?;
        Ok(Self {
            cpu_time,
            memory_kib,
        })
    }
}

/// First field of `schedstat`: processor time in nanoseconds.
fn cpu_time_of_thread(schedstat: &str) -> Option<Duration> {
    let nanoseconds = schedstat.split_whitespace().next()?.parse().ok()?;
    Some(Duration::from_nanos(nanoseconds))
}

fn resident_kib(status: &str) -> Option<u64> {
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}
