//! State of one request while it is being served.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix_http::header::HeaderMap;
use actix_http::{Method, RequestHead, Uri};
use dalestand_clock::BootInstant;
use dalestand_edge::routed::RequestMetadata;
use dalestand_engine_link::{BodyError, ConnectionUse, Path};
use dalestand_http_server::Body;
use dalestand_quarantine::{PartFingerprint, RequestFingerprint};
use dalestand_routes::{Caller, RouteConfig, RouteTable};
use dalestand_routing::staged::{
    ClosedReason, EngineChoice, EngineKey, EnginePool, LatencyEstimate, PromptPart, StagedRequest,
};
use dalestand_routing::{CallCounts, CallPurpose, RetryBalance, TenantCode};
use dalestand_stream_origins::StreamBinding;
use dalestand_types::{
    EngineSignals, LimitSignal, MonotonicTime, PoolName, RequestRate, SoftwareVersion,
};

use crate::fleet::engines::Fleet;
use crate::fleet_sums::{ClassKey, TenantKey};
use crate::node::settings::ForwardingSettings;
use crate::serve::attempt::EngineAnswer;
use crate::serve::deliver::Served;
use crate::serve::open_call::OpenCall;
use crate::serve::pool_admissions::{AdmissionRecord, Reservation};
use crate::serve::tenant_shares::{ShareStatus, tenant_code};

/// Maximum number of calls sent for one request, whatever their outcome.
const MAX_CALLS: usize = 6;

/// Maximum number of engines chosen for one request, including those that turn out to be closed.
/// Rate-limited engines look idle, and each is found to be closed only when a permit is requested.
const MAX_CHOICES: usize = 4 * MAX_CALLS;

/// Outcome of a call that found no room for a connection.
pub(super) const NO_CONNECTION: &str = "no connection";

/// Estimated bytes of a request's head and packet headers.
const HEAD_OVERHEAD_BYTES: usize = 600;

/// A caller's request as it is forwarded.
pub(crate) struct ForwardedRequest {
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    /// Headers to forward.
    pub(crate) headers: HeaderMap,
    pub(crate) body: Body,
}

/// A call and its outcome, for the request's log line.
pub(crate) struct CallRecord {
    pub(crate) purpose: CallPurpose,
    pub(crate) engine: Arc<str>,
    pub(crate) outcome: &'static str,
    pub(crate) took: Duration,
    /// Whether the engine was silent for the call's time limit before this outcome.
    was_silent: bool,
    /// Time from the arrival of the request to the choice of the engine.
    chosen_after: Duration,
    /// Estimated seconds until the answer starts, including queues and risk margins.
    expected_s: f64,
    /// Estimated number of prompt tokens that the engine had to prefill.
    unprefilled_tokens: u32,
    /// Whether the engine was to fetch cached tokens from another engine.
    fetches: bool,
    /// Signals of the engine.
    pub(crate) signals: CallSignals,
    /// For a retry, the budget before it; whether it was taken or denied is in the outcome.
    pub(crate) retry: Option<RetryBalance>,
}

/// A call whose engine has fallen silent. The engine may read it later.
pub(crate) struct SilentCall {
    pub(crate) engine: EngineKey,
    pub(crate) pool: PoolName,
    pub(crate) sent_at: MonotonicTime,
}

/// What the engine signalled about itself, before or in answer to a call.
#[derive(Clone, Debug, Default)]
pub(crate) struct CallSignals {
    /// Why the call was not sent.
    pub(crate) closed: Option<ClosedReason>,
    /// The rate limit known when the call was made.
    pub(crate) known_limit: Option<RequestRate>,
    /// Signals in the answer.
    pub(crate) reported: EngineSignals,
    /// The entry of the engine by which the call was made.
    pub(crate) entry: Option<EntryUsed>,
    /// How the answer came.
    pub(crate) path: Path,
    /// The connection on which an answer came.
    pub(crate) connection: Option<ConnectionUse>,
    /// Number of answers with the ids of other requests that came first.
    pub(crate) stray_answers: usize,
    /// Why what came in the place of an answer was not one.
    pub(crate) malformed: Option<&'static str>,
    /// Why the body of the answer could not be used.
    pub(crate) body_error: Option<BodyError>,
    /// Version of the engine's software.
    pub(crate) software: Option<SoftwareVersion>,
}

/// The entry of an engine by which a call was made.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EntryUsed {
    /// Revision of its last change.
    pub(crate) revision: u64,
    /// Time since this node's entries were last proved complete; `None` if they never were.
    pub(crate) age: Option<Duration>,
}

impl From<ClosedReason> for CallSignals {
    fn from(closed: ClosedReason) -> Self {
        Self {
            closed: Some(closed),
            ..Self::default()
        }
    }
}

impl CallSignals {
    /// Formats the signals for the log.
    fn summary(&self) -> String {
        let mut text = String::new();
        if let Some(software) = &self.software {
            text.push_str(&format!(", software {software}"));
        }
        match self.closed {
            Some(ClosedReason::Draining) => text.push_str(", it drains"),
            Some(ClosedReason::Removed) => text.push_str(", its entry is gone"),
            Some(ClosedReason::Backoff(_)) => text.push_str(", in its backoff"),
            Some(ClosedReason::Probing) => text.push_str(", just after its backoff"),
            Some(ClosedReason::Limit(_)) => text.push_str(", no permit"),
            None => {}
        }
        if let Some(entry) = self.entry {
            text.push_str(&format!(", by entry {}", entry.revision));
            match entry.age {
                Some(age) => text.push_str(&format!(" proved {}ms ago", age.as_millis())),
                None => text.push_str(" unproved"),
            }
        }
        if let Some(ConnectionUse { connection, call }) = self.connection {
            text.push_str(&format!(", call {call} on connection {connection}"));
        }
        if self.stray_answers > 0 {
            text.push_str(&format!(", after {} to other requests", self.stray_answers));
        }
        if let Some(reason) = self.malformed {
            text.push_str(&format!(", malformed: {reason}"));
        }
        if let Some(error) = &self.body_error {
            text.push_str(&format!(", body: {error}"));
        }
        if let Path::Detour(carrier) = self.path {
            text.push_str(&format!(", via {carrier}"));
        }
        if self.reported.draining {
            text.push_str(", says it drains");
        }
        if let Some(backoff) = self.reported.backoff {
            text.push_str(&format!(", asks for {}ms", backoff.as_millis()));
        }
        if let Some(limit) = self.known_limit {
            text.push_str(&format!(", limited to {limit}"));
        }
        match self.reported.limit {
            LimitSignal::Rate(limit) => text.push_str(&format!(", names a limit of {limit}")),
            LimitSignal::Invalid => text.push_str(", names an unreadable limit"),
            LimitSignal::Absent => {}
        }
        text
    }
}

impl CallRecord {
    /// Whether the call was not sent because the engine was closed, or had no room for a connection.
    fn is_withheld(&self) -> bool {
        self.signals.closed.is_some() || self.outcome == NO_CONNECTION
    }

    /// Formats the call for the log: `PURPOSE ENGINE OUTCOME TIME (details)`.
    fn summary(&self) -> String {
        let mut text = format!(
            "{:?} {} {}{} {}ms (at {}ms, expected {}ms",
            self.purpose,
            self.engine,
            if self.was_silent { "silent, then " } else { "" },
            self.outcome,
            self.took.as_millis(),
            self.chosen_after.as_millis(),
            (self.expected_s * 1_000.0) as u64,
        );
        if self.unprefilled_tokens > 0 {
            text.push_str(&format!(", reads {}", self.unprefilled_tokens));
        }
        if self.fetches {
            text.push_str(", fetches");
        }
        text.push_str(&self.signals.summary());
        if let Some(balance) = self.retry {
            text.push_str(&retry_summary(balance));
        }
        text.push(')');
        text
    }
}

/// Formats the budget that a retry was taken from.
fn retry_summary(balance: RetryBalance) -> String {
    let RetryBalance {
        earned,
        slack,
        owed,
        reserved,
        nodes,
    } = balance;
    let nodes = nodes.map_or("unused".to_owned(), |nodes| format!("of {nodes} nodes"));
    let owed = if owed > 0.0 {
        format!(", {owed:.1} owed")
    } else {
        String::new()
    };
    let reserved = if reserved > 0.0 {
        format!(", {reserved:.1} reserved for late arrivals")
    } else {
        String::new()
    };
    format!(", retry with {earned:.1} earned and {slack:.1} slack {nodes}{owed}{reserved}")
}

/// What the trial of a request is to show.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TrialKind {
    /// Whether the request still crashes engines.
    Request,
    /// Whether a part of its prompt still crashes engines.
    Part,
}

/// A request that has been accepted.
pub(crate) struct AcceptedRequest {
    pub(crate) facts: RequestMetadata,
    pub(crate) caller: Caller,
    pub(crate) forwarded: ForwardedRequest,
    pub(crate) table: Rc<RouteTable>,
    pub(crate) route: Arc<RouteConfig>,
    pub(crate) pools: Vec<PoolName>,
    pub(crate) fingerprint: Option<RequestFingerprint>,
    pub(crate) shared_parts: Rc<[PartFingerprint]>,
    pub(crate) class: ClassKey,
    pub(crate) started: BootInstant,
}

/// A request that is being served.
pub(crate) struct Progress {
    pub(crate) facts: RequestMetadata,
    /// The caller.
    pub(crate) caller: Caller,
    pub(crate) forwarded: ForwardedRequest,
    pub(crate) table: Rc<RouteTable>,
    pub(crate) route: Arc<RouteConfig>,
    /// Its first pool and its priority.
    pub(crate) class: ClassKey,
    /// Its class and tenant code, where tenants are declared.
    pub(crate) tenant: Option<TenantKey>,
    /// Whether it is within the tenant's share, once an engine has been chosen.
    pub(crate) share: Option<ShareStatus>,
    /// Prompt tokens that the first chosen engine would have to prefill.
    pub(crate) unprefilled_tokens: u32,
    /// The pools that may serve it, in order of preference.
    pub(crate) pools: Vec<PoolName>,
    pub(crate) started: BootInstant,
    /// Identifies the request if it is sent again; `None` until the fleet's key is loaded.
    pub(crate) fingerprint: Option<RequestFingerprint>,
    /// The prompt parts that it shares with others; empty until the fleet's key is loaded.
    pub(crate) shared_parts: Rc<[PartFingerprint]>,
    /// Whether it is stopped, or has a held part, and runs as a trial.
    pub(crate) trial: Option<TrialKind>,
    /// Deadline for the complete answer.
    pub(crate) due: BootInstant,
    /// Which engines may serve it, if it is a stream.
    pub(crate) binding: StreamBinding,
    /// Engines already called, which are avoided.
    pub(crate) tried: Vec<EngineKey>,
    /// Whether it has been counted for its tenant's usage.
    pub(crate) usage_counted: bool,
    /// Number of engines that may have run it.
    pub(crate) runs: u32,
    /// Calls that count against the retry budget.
    pub(crate) call_counts: CallCounts,
    /// Calls whose engines have fallen silent, as long as no other call was made in their stead.
    pub(crate) silent_calls: Vec<SilentCall>,
    pub(crate) calls: Vec<CallRecord>,
    /// Calls that engines may still answer: the newest one, and earlier runs whose engines have fallen silent.
    pub(crate) open_calls: Vec<OpenCall>,
    /// An answer that reports a server error, and arrived while another call was open.
    pub(crate) late_error: Option<Box<EngineAnswer>>,
    /// An answer to deliver if no engine gives a better one.
    pub(crate) fallback: Option<Served>,
    /// Calls before this index belong to silences that have ended, and do not count against [`MAX_CALLS`].
    past_calls: usize,
    /// Latest latency estimate, where there is one.
    pub(crate) expected: Option<LatencyEstimate>,
    /// Its reserved place in a pool that is short of capacity, until it is sent.
    pub(crate) reservation: Option<Reservation>,
    /// The admission decision, if the pool was short of capacity.
    pub(crate) admission: Option<AdmissionRecord>,
}

/// Time from the arrival of a request to the moment when its complete answer is due.
pub(crate) fn time_limit(facts: &RequestMetadata, route: &RouteConfig) -> Duration {
    let limit = Duration::from_millis(route.time_limit_ms);
    facts.deadline.map_or(limit, |deadline| deadline.min(limit))
}

impl Progress {
    pub(crate) fn new(accepted: AcceptedRequest) -> Self {
        let AcceptedRequest {
            facts,
            caller,
            forwarded,
            table,
            route,
            pools,
            fingerprint,
            shared_parts,
            class,
            started,
        } = accepted;
        let time_limit = time_limit(&facts, &route);
        let tenant = tenant_code(&caller).map(|code| (class.clone(), code));
        let binding = if route.kind.is_stream() {
            let draw = rand::random();
            StreamBinding::Beginning { draw }
        } else {
            StreamBinding::Unbound
        };
        Self {
            facts,
            caller,
            forwarded,
            table,
            route,
            class,
            tenant,
            share: None,
            unprefilled_tokens: 0,
            pools,
            fingerprint,
            shared_parts,
            trial: None,
            started,
            due: started + time_limit,
            binding,
            tried: Vec::new(),
            usage_counted: false,
            runs: 0,
            call_counts: CallCounts::default(),
            silent_calls: Vec::new(),
            calls: Vec::new(),
            open_calls: Vec::new(),
            late_error: None,
            fallback: None,
            past_calls: 0,
            expected: None,
            reservation: None,
            admission: None,
        }
    }

    /// Whether it runs although a part of its prompt is held.
    pub(crate) fn is_part_trial(&self) -> bool {
        self.trial == Some(TrialKind::Part)
    }

    /// The code of its tenant, where tenants are declared.
    pub(crate) fn tenant_code(&self) -> Option<TenantCode> {
        self.tenant.as_ref().map(|(_, code)| *code)
    }

    /// Time left until the caller's own deadline.
    pub(crate) fn deadline_left(&self) -> Option<Duration> {
        let deadline = self.facts.deadline?;
        Some(deadline.saturating_sub(self.started.elapsed()))
    }

    /// Time left until the complete answer is due.
    pub(crate) fn time_left(&self) -> Duration {
        self.due - BootInstant::now()
    }

    /// Whether the request may be sent to another engine.
    pub(crate) fn may_call_another(&self) -> bool {
        let may_have_run = self.runs > 0;
        let calls = &self.calls[self.past_calls..];
        let withheld = calls.iter().filter(|call| call.is_withheld());
        let sent = calls.len() - withheld.count();
        (!may_have_run || self.route.kind.is_repeatable())
            && self.runs < self.route.max_attempts
            && sent < MAX_CALLS
            && calls.len() < MAX_CHOICES
    }

    /// Records the outcome of a call.
    pub(crate) fn record(
        &mut self,
        purpose: CallPurpose,
        choice: &EngineChoice,
        outcome: &'static str,
        took: Duration,
        signals: CallSignals,
        retry: Option<RetryBalance>,
    ) -> &CallRecord {
        self.calls.push_mut(CallRecord {
            purpose,
            engine: Arc::clone(&choice.engine.run),
            outcome,
            took,
            was_silent: false,
            chosen_after: self.started.elapsed().saturating_sub(took),
            expected_s: choice.expected_s,
            unprefilled_tokens: choice.unprefilled_tokens,
            fetches: choice.fetch_from.is_some(),
            signals,
            retry,
        })
    }

    /// Makes the engines that refused the request during a silence available again, as its engine goes on.
    pub(crate) fn end_silence(&mut self, engine: EngineKey) {
        self.tried.retain(|tried| *tried == engine);
        self.past_calls = self.calls.len();
    }

    /// Replaces the outcome of a call that was recorded as silent.
    pub(crate) fn record_late(
        &mut self,
        index: usize,
        outcome: &'static str,
        took: Duration,
        signals: CallSignals,
    ) -> Option<&CallRecord> {
        let record = self.calls.get_mut(index)?;
        record.outcome = outcome;
        record.took = took;
        record.was_silent = true;
        record.signals = signals;
        Some(record)
    }

    /// Records that the body of the last call's answer could not be used.
    pub(crate) fn record_body_error(&mut self, error: BodyError) {
        if let Some(call) = self.calls.last_mut() {
            call.signals.body_error = Some(error);
        }
    }

    /// Whether a call of it was a retry.
    pub(crate) fn was_retried(&self) -> bool {
        self.calls.iter().any(|call| call.retry.is_some())
    }

    /// The head to send to an engine, without the headers added for each call.
    pub(crate) fn request_head(&self) -> RequestHead {
        let mut head = RequestHead::default();
        head.method = self.forwarded.method.clone();
        head.uri = self.forwarded.uri.clone();
        head.headers = self.forwarded.headers.clone();
        head
    }

    /// Estimated bytes of one send.
    pub(crate) fn sent_bytes(&self) -> usize {
        self.forwarded.body.len() + HEAD_OVERHEAD_BYTES
    }

    /// The parts of the prompt.
    pub(crate) fn prompt_parts(&self) -> Vec<PromptPart> {
        let parts = self.facts.parts.iter();
        parts
            .map(|(id, tokens)| PromptPart {
                id: *id,
                tokens: *tokens,
            })
            .collect()
    }

    /// The engines of `pool` that may serve the request.
    pub(crate) fn engines<'f>(&self, fleet: &'f Fleet, pool: &PoolName) -> &'f EnginePool {
        fleet.engines_for(pool, &self.binding)
    }

    /// The request as the router needs it to choose among the engines of `pool`.
    pub(crate) fn routing_request(
        &self,
        settings: &ForwardingSettings,
        pool: &PoolName,
    ) -> StagedRequest {
        let terms = self.table.pool(pool);
        let prompt = terms.and_then(|terms| terms.prompt_engine);
        StagedRequest {
            parts: self.prompt_parts(),
            prompt_tokens: self.facts.prompt_tokens,
            token_bytes: prompt.map_or(0, |prompt| prompt.token_bytes),
            link_mbps: prompt.map_or(0.0, |prompt| prompt.link_mbps),
            send_s: settings.link_time(self.sent_bytes()).as_secs_f64(),
            tried: self.tried.clone(),
        }
    }

    /// Formats the calls for the log.
    pub(crate) fn call_summary(&self) -> String {
        let calls = self.calls.iter().map(CallRecord::summary);
        calls.collect::<Vec<_>>().join("; ")
    }
}
