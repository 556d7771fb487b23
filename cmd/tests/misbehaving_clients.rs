//! Crowds of clients that send large or endless requests and stay connected: a node lives, stays within the memory and the
//! descriptors of its machine, and answers other callers.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use dalestand_soak::crowd::{Crowd, CrowdKind, MAX_BODY_BYTES, write_configuration};
use dalestand_soak::engines::{AMPLE_CAPACITY, EngineConfig, EngineLayout, Engines};
use dalestand_soak::history::Recorder;
use dalestand_soak::http::{HttpConnection, Message};
use dalestand_soak::nodes::{MachineLimits, Node, NodeOptions};
use dalestand_soak::store::Store;
use rstest::rstest;

/// The machine of the node.
const LIMITS: MachineLimits = MachineLimits {
    memory_mb: 100,
    max_open_files: 1_000,
};

/// Clients that misbehave. Their bodies together are twice the machine's memory.
const CLIENTS: usize = 200;

/// Clients that stay connected: more than half of the descriptors of the machine.
const CONNECTED_CLIENTS: usize = 600;

/// Engines that are still busy with some bodies when others arrive.
const SLOW_ENGINES: EngineConfig = EngineConfig {
    work: Duration::from_secs(1),
    ..AMPLE_CAPACITY
};

/// Time limit of waiting; only a failing test reaches it.
const WAIT_LIMIT: Duration = Duration::from_secs(60);

/// A caller gives up after six times its deadline. Shorter than the time for which a head may take, so that a crowd's connections do not
/// end meanwhile.
const CALLER_PATIENCE: Duration = Duration::from_secs(30);

/// One crowd at a time: its memory and its load would count against another.
static CROWD: Mutex<()> = Mutex::new(());

/// A store, engines and a node.
struct Site {
    node: Arc<Node>,
    recorder: Recorder,
    _engines: Engines,
    folder: PathBuf,
}

impl Site {
    fn start(name: &str, engines: EngineConfig) -> Self {
        let folder = std::env::temp_dir().join(format!("dalestand-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        let (store, recorder) = (Store::start().expect("a store"), Recorder::default());
        write_configuration(&store);
        let layout = EngineLayout {
            engines: 3,
            with_stages: 0,
            zones: 1,
        };
        let engines = Engines::start(&store, &recorder, layout, engines).expect("engines");
        let options = NodeOptions {
            limits: Some(LIMITS),
            ..NodeOptions::default()
        };
        let program = PathBuf::from(env!("CARGO_BIN_EXE_dalestand"));
        let node = Node::start(&program, &folder, 0, "z", store.address, options).expect("a node");
        let site = Self {
            node: Arc::new(node),
            recorder,
            _engines: engines,
            folder,
        };
        site.serve_one(WAIT_LIMIT);
        site
    }

    /// Sends ordinary requests one after the other until one is served.
    fn serve_one(&self, patience: Duration) {
        let until = Instant::now() + patience;
        let mut last = None;
        for number in 0.. {
            match exchange(self.node.caller_address, &ordinary_request(number)) {
                Some(answer) if answer.status() == 200 => return,
                answer => last = answer.or(last),
            }
            assert!(Instant::now() < until, "no request was served: {last:?}");
            thread::sleep(Duration::from_millis(100));
        }
    }
}

fn head(number: usize, framing: &str) -> String {
    format!(
        "POST /once/ordinary HTTP/1.1\r\nhost: a.example\r\nrequest-id: ordinary-{number}\r\n\
         deadline-ms: 5000\r\n{framing}\r\n\r\n"
    )
}

fn ordinary_request(number: usize) -> Vec<u8> {
    (head(number, "content-length: 100") + &"y".repeat(100)).into_bytes()
}

/// The answer to a request on a connection of its own.
fn exchange(address: SocketAddr, request: &[u8]) -> Option<Message> {
    let mut connection = HttpConnection::open(address, Duration::from_secs(10)).ok()?;
    connection.write(request).ok()?;
    connection.read().ok()?
}

/// Follows what a node holds.
struct Watch {
    is_over: Arc<AtomicBool>,
    most_unread: Arc<AtomicUsize>,
    most_descriptors: Arc<AtomicUsize>,
    thread: thread::JoinHandle<()>,
}

impl Watch {
    fn start(node: &Arc<Node>) -> Self {
        let (is_over, most_unread, most_descriptors) = (
            Arc::<AtomicBool>::default(),
            Arc::<AtomicUsize>::default(),
            Arc::<AtomicUsize>::default(),
        );
        let node = Arc::clone(node);
        let (over, unread, descriptors) = (
            Arc::clone(&is_over),
            Arc::clone(&most_unread),
            Arc::clone(&most_descriptors),
        );
        let thread = thread::spawn(move || {
            while !over.load(Ordering::SeqCst) {
                unread.fetch_max(node.unread_caller_bytes() as usize, Ordering::SeqCst);
                let level = node.level(0);
                let open = level.map_or(0, |level| level.descriptors);
                descriptors.fetch_max(open, Ordering::SeqCst);
                thread::sleep(Duration::from_millis(20));
            }
        });
        Self {
            is_over,
            most_unread,
            most_descriptors,
            thread,
        }
    }

    /// Most unread bytes and most descriptors.
    fn stop(self) -> (usize, usize) {
        self.is_over.store(true, Ordering::SeqCst);
        self.thread.join().expect("a watch");
        let most = |most: &AtomicUsize| most.load(Ordering::SeqCst);
        (most(&self.most_unread), most(&self.most_descriptors))
    }
}

/// Guards against crowds of callers that make a node run out of memory or keep it from other callers.
#[rstest]
#[case::unfinished_bodies(CrowdKind::UnfinishedBody, AMPLE_CAPACITY)]
#[case::unfinished_bodies_in_pieces(CrowdKind::UnfinishedBodyInPieces, AMPLE_CAPACITY)]
#[case::whole_bodies_for_slow_engines(CrowdKind::WholeBody, SLOW_ENGINES)]
#[case::unfinished_chunks(CrowdKind::UnfinishedChunks, AMPLE_CAPACITY)]
#[case::unfinished_chunk(CrowdKind::UnfinishedChunk, AMPLE_CAPACITY)]
#[case::unfinished_tiny_chunks(CrowdKind::UnfinishedTinyChunks, AMPLE_CAPACITY)]
#[case::lengths_over_the_limit(CrowdKind::LongLength, AMPLE_CAPACITY)]
#[case::chunks_without_end(CrowdKind::EndlessChunks, AMPLE_CAPACITY)]
#[case::expecting_callers(CrowdKind::ExpectContinue, AMPLE_CAPACITY)]
#[case::chunk_sizes_without_end(CrowdKind::EndlessChunkSize, AMPLE_CAPACITY)]
#[case::trailers_without_end(CrowdKind::EndlessTrailers, AMPLE_CAPACITY)]
#[case::pipelines_without_reader(CrowdKind::UnreadPipeline, AMPLE_CAPACITY)]
#[case::bodies_without_route(CrowdKind::NoRoute, AMPLE_CAPACITY)]
fn a_crowd_leaves_a_node_its_memory_and_other_callers_their_answers(
    #[case] kind: CrowdKind,
    #[case] engines: EngineConfig,
) {
    let _one_at_a_time = CROWD.lock().unwrap_or_else(PoisonError::into_inner);
    let site = Site::start(&format!("crowd-{kind:?}"), engines);
    let watch = Watch::start(&site.node);
    let addresses = [site.node.caller_address];
    let crowd = Crowd::start(&addresses, &[kind], CLIENTS, "crowd").expect("a crowd");
    let has_settled = crowd.wait_until_settled(WAIT_LIMIT);
    if has_settled {
        site.serve_one(WAIT_LIMIT);
    }
    let report = crowd.stop();
    let peak_kb = site.node.peak_memory_kb();
    let (most_unread, descriptors) = watch.stop();
    println!(
        "{kind:?}: {peak_kb:?} kB, {most_unread} B unread, {descriptors} descriptors, {:?}",
        report.answers
    );
    assert!(!site.node.has_ended(), "the process has ended: {report:?}");
    assert!(has_settled, "the node takes no more bytes: {report:?}");
    let most_bytes = peak_kb.expect("a process") * 1_024 + most_unread as u64;
    assert!(
        most_bytes <= LIMITS.memory_mb * 1_000_000,
        "{peak_kb:?} kB of memory and {most_unread} unread bytes; {descriptors} descriptors, {:?}",
        report.answers
    );
    assert!(descriptors <= LIMITS.max_open_files, "{descriptors}");
    assert_refused_have_not_run(&site.recorder, &report.refused);
    // Logs are needed only after a failure; what stays of them is harmless.
    let _ = std::fs::remove_dir_all(&site.folder);
}

/// Guards against callers that take all connections of a node and send little or nothing on them.
#[test]
fn a_crowd_that_takes_all_connections_does_not_keep_other_callers_out() {
    let _one_at_a_time = CROWD.lock().unwrap_or_else(PoisonError::into_inner);
    let site = Site::start("crowd-connections", AMPLE_CAPACITY);
    let watch = Watch::start(&site.node);
    let addresses = [site.node.caller_address];
    let kinds = [CrowdKind::UnfinishedHead];
    let crowd = Crowd::start(&addresses, &kinds, CONNECTED_CLIENTS, "crowd").expect("a crowd");
    let has_settled = crowd.wait_until_settled(WAIT_LIMIT);
    if has_settled {
        site.serve_one(CALLER_PATIENCE);
    }
    let report = crowd.stop();
    let (_, descriptors) = watch.stop();
    assert!(!site.node.has_ended(), "the process has ended: {report:?}");
    assert!(has_settled, "the node takes no connections: {report:?}");
    assert!(descriptors <= LIMITS.max_open_files, "{descriptors}");
    let _ = std::fs::remove_dir_all(&site.folder);
}

fn assert_refused_have_not_run(recorder: &Recorder, refused: &[String]) {
    let history = recorder.history();
    let has_run = |id: &&String| history.runs.iter().any(|run| run.id == **id);
    assert_eq!(refused.iter().filter(has_run).count(), 0);
}

/// Guards against limits that a single large request meets.
#[rstest]
#[case::whole(MAX_BODY_BYTES, MAX_BODY_BYTES)]
#[case::in_pieces(MAX_BODY_BYTES, 1_000)]
#[case::in_large_chunks(0, 256 << 10)]
#[case::in_tiny_chunks(0, 1)]
fn a_single_body_of_the_longest_allowed_length_is_served(
    #[case] announced: usize,
    #[case] piece: usize,
) {
    let _one_at_a_time = CROWD.lock().unwrap_or_else(PoisonError::into_inner);
    let site = Site::start(&format!("single-{announced}-{piece}"), AMPLE_CAPACITY);
    let framing = match announced {
        0 => "transfer-encoding: chunked".to_owned(),
        length => format!("content-length: {length}"),
    };
    let mut request = head(usize::MAX, &framing).into_bytes();
    if announced > 0 {
        request.extend(vec![b'y'; announced]);
    } else {
        let chunk = format!("{piece:x}\r\n{}\r\n", "y".repeat(piece));
        request.extend(chunk.repeat(MAX_BODY_BYTES / piece).into_bytes());
        request.extend(b"0\r\n\r\n");
    }
    let mut connection =
        HttpConnection::open(site.node.caller_address, WAIT_LIMIT).expect("a connection");
    for part in request.chunks(piece.max(6_000)) {
        connection.write(part).expect("written");
    }
    let answer = connection.read().expect("an answer").expect("an answer");
    assert_eq!(answer.status(), 200, "{answer:?}");
    let _ = std::fs::remove_dir_all(&site.folder);
}
