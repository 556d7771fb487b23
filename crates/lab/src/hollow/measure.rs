//! What the machine says of the process and its threads.

use std::fs;
use std::io;

/// Bytes of a page of memory.
const PAGE_BYTES: u64 = 4_096;

/// Processor time of the current thread, in nanoseconds.
pub(super) fn thread_cpu_time() -> io::Result<u64> {
    first_number(&fs::read_to_string("/proc/thread-self/schedstat")?, 0)
}

/// Resident memory of the process, in bytes.
pub(super) fn resident_bytes() -> io::Result<u64> {
    let pages = first_number(&fs::read_to_string("/proc/self/statm")?, 1)?;
    Ok(pages * PAGE_BYTES)
}

fn first_number(text: &str, word: usize) -> io::Result<u64> {
    let number = text.split_whitespace().nth(word);
    let number = number.and_then(|number| number.parse().ok());
    number.ok_or_else(|| io::Error::from(io::ErrorKind::InvalidData))
}
