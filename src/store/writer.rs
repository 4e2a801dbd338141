//! Writes records on a dedicated thread, so that a slow, full or hanging disk delays
//! only the work that waits for it.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc;
use std::time::Duration;

use tokio::sync::mpsc as events;

use super::Disk;
use crate::agree::Persist;

/// Pause before a failed write is tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Failed attempts per logged error.
const FAILURES_PER_LOG_LINE: u32 = 50;

/// Sizes of the files, in bytes.
#[derive(Debug, Default)]
struct Sizes {
    log: AtomicU64,
    snapshot: AtomicU64,
}

struct Job {
    number: u64,
    records: Vec<Persist>,
}

/// Hands records to the thread that owns the disk.
#[derive(Debug)]
pub struct DiskWriter {
    jobs: mpsc::Sender<Job>,
    sizes: Arc<Sizes>,
    last: u64,
}

impl DiskWriter {
    /// Starts the thread. The receiver yields the numbers of finished jobs in order;
    /// a number covers all earlier jobs too.
    pub fn start(disk: Disk) -> std::io::Result<(DiskWriter, events::UnboundedReceiver<u64>)> {
        let (jobs, queue) = mpsc::channel();
        let (done, finished) = events::unbounded_channel();
        let sizes = Arc::new(Sizes::default());
        let writer = DiskWriter { jobs, sizes: sizes.clone(), last: 0 };
        update_sizes(&sizes, &disk);
        std::thread::Builder::new()
            .name("disk".to_string())
            .stack_size(256 * 1024)
            .spawn(move || run(disk, &queue, &done, &sizes))?;
        Ok((writer, finished))
    }

    /// Queues records to be written and synced; returns the number of the job.
    pub fn write(&mut self, records: Vec<Persist>) -> u64 {
        self.last += 1;
        // The thread runs until this sender is dropped or the receiver of finished jobs is.
        let _ = self.jobs.send(Job { number: self.last, records });
        self.last
    }

    /// Bytes in the log since the last snapshot.
    pub fn log_bytes(&self) -> u64 {
        self.sizes.log.load(Ordering::Relaxed)
    }

    /// Bytes of the last snapshot.
    pub fn snapshot_bytes(&self) -> u64 {
        self.sizes.snapshot.load(Ordering::Relaxed)
    }
}

fn update_sizes(sizes: &Sizes, disk: &Disk) {
    sizes.log.store(disk.log_bytes(), Ordering::Relaxed);
    sizes.snapshot.store(disk.snapshot_bytes(), Ordering::Relaxed);
}

fn run(
    mut disk: Disk,
    queue: &mpsc::Receiver<Job>,
    done: &events::UnboundedSender<u64>,
    sizes: &Sizes,
) {
    while let Ok(first) = queue.recv() {
        let mut number = first.number;
        let mut records = first.records;
        while let Ok(more) = queue.try_recv() {
            number = more.number;
            records.extend(more.records);
        }
        write_until_done(&mut disk, &records);
        update_sizes(sizes, &disk);
        if done.send(number).is_err() {
            return;
        }
    }
}

fn write_until_done(disk: &mut Disk, records: &[Persist]) {
    let mut failures = 0;
    loop {
        let written = match failures {
            0 => disk.write(records),
            _ => disk.recover().and_then(|()| disk.write(records)),
        };
        match written {
            Ok(()) if failures == 0 => return,
            Ok(()) => {
                log::info!("store: disk writes succeed again after {failures} failures");
                return;
            }
            Err(error) => {
                if failures % FAILURES_PER_LOG_LINE == 0 {
                    log::error!("store: cannot write to disk: {error}");
                }
                failures += 1;
                std::thread::sleep(RETRY_PAUSE);
            }
        }
    }
}
