//! Callers that send requests sequentially and record the results.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use dalestand_history::{Event, Recorder, RequestEnd};
use dalestand_standin::engine::text;
use dalestand_types::RequestId;

use super::{Answer, call, eventually};

/// Output tokens of each answer; enough that a planned stop which does not wait for it would interrupt it.
const TOKENS: u32 = 160;

/// Delay after a refusal before the next request, which goes to another node.
const REFUSED_PAUSE: Duration = Duration::from_millis(20);

/// Concurrent callers that run until stopped.
pub struct Callers {
    nodes: Rc<RefCell<Vec<SocketAddr>>>,
    stopped: Rc<Cell<bool>>,
    complete: Rc<Cell<usize>>,
    tasks: Vec<actix_rt::task::JoinHandle<()>>,
}

impl Callers {
    /// Starts callers, each of which uses the nodes in turn.
    pub fn start(count: usize, nodes: Vec<SocketAddr>, recorder: &Recorder) -> Self {
        let nodes = Rc::new(RefCell::new(nodes));
        let stopped = Rc::new(Cell::new(false));
        let complete = Rc::new(Cell::new(0));
        let tasks = (0..count).map(|index| {
            let caller = Caller {
                index,
                nodes: Rc::clone(&nodes),
                stopped: Rc::clone(&stopped),
                complete: Rc::clone(&complete),
                recorder: recorder.clone(),
            };
            actix_rt::spawn(async move { caller.run().await })
        });
        Self {
            tasks: tasks.collect(),
            nodes,
            stopped,
            complete,
        }
    }

    /// Waits until one further request per caller, on average, is complete.
    pub async fn wait_for_progress(&self) {
        let wanted = self.complete.get() + self.tasks.len();
        eventually("the callers complete requests", || async {
            (self.complete.get() >= wanted).then_some(())
        })
        .await;
    }

    /// Replaces the nodes that callers use.
    pub fn set_nodes(&self, nodes: Vec<SocketAddr>) {
        self.nodes.replace(nodes);
    }

    /// Stops the callers after their current requests.
    pub async fn stop(self) {
        self.stopped.set(true);
        for task in self.tasks {
            task.await.expect("a caller that did not panic");
        }
    }
}

struct Caller {
    index: usize,
    nodes: Rc<RefCell<Vec<SocketAddr>>>,
    stopped: Rc<Cell<bool>>,
    complete: Rc<Cell<usize>>,
    recorder: Recorder,
}

impl Caller {
    async fn run(&self) {
        for number in 0.. {
            if self.stopped.get() {
                break;
            }
            let end = self.request(number).await;
            if end == RequestEnd::Complete {
                self.complete.set(self.complete.get() + 1);
            } else {
                actix_rt::time::sleep(REFUSED_PAUSE).await;
            }
        }
    }

    async fn request(&self, number: usize) -> RequestEnd {
        let node = {
            let nodes = self.nodes.borrow();
            nodes[(self.index + number) % nodes.len()]
        };
        let request = RequestId((self.index * 1_000_000 + number) as u128);
        let prompt = format!("caller {} request {number}", self.index);
        let expected = text::expected_text("m", &prompt, TOKENS);
        self.recorder
            .record(Event::RequestSent { request, expected });
        let body = serde_json::json!({"model": "m", "prompt": prompt, "max_tokens": TOKENS});
        let end = match call(node, "/v1/completions", None, &body).await {
            None => RequestEnd::NotRun,
            Some(answer) => self.end(request, &answer),
        };
        let ended = end.clone();
        self.recorder.record(Event::RequestEnded {
            request,
            end: ended,
        });
        end
    }

    fn end(&self, request: RequestId, answer: &Answer) -> RequestEnd {
        if answer.status == Some(200) {
            let body: serde_json::Value = serde_json::from_str(&answer.body).unwrap_or_default();
            let text = body["choices"][0]["text"].as_str().unwrap_or_default();
            let text = text.to_owned();
            self.recorder.record(Event::TextReceived { request, text });
            return RequestEnd::Complete;
        }
        if answer.run_state.as_deref() != Some("not-run") {
            return RequestEnd::Unknown;
        }
        // Engines log the request under the identifier that the node assigned to it.
        if let Some(request) = answer.request.as_ref().and_then(|id| id.parse().ok()) {
            let end = RequestEnd::NotRun;
            self.recorder.record(Event::RequestEnded { request, end });
        }
        RequestEnd::NotRun
    }
}
