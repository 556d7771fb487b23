//! How far one request has come.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix_http::header::HeaderMap;
use actix_http::{Method, RequestHead, Uri};
use bytes::Bytes;
use dalestand_clock::BootInstant;
use dalestand_edge::routed::RequestFacts;
use dalestand_quarantine::RequestFingerprint;
use dalestand_routes::{Caller, RouteTable, RouteTerms};
use dalestand_routing::staged::{
    ClosedReason, EngineChoice, EngineKey, LatencyEstimate, PromptPart, StagedRequest,
};
use dalestand_routing::{CallCounts, CallPurpose};
use dalestand_types::{EngineSignals, LimitSignal, PoolName, RequestRate};

use crate::fleet_sums::{ClassKey, TenantKey};
use crate::node::settings::ForwardingSettings;
use crate::serve::pool_admissions::{AdmissionRecord, Place};
use crate::serve::tenant_shares::{ShareAccount, code_of};

/// Most calls made for one request, whatever came of them.
const MAX_CALLS: usize = 6;

/// Most engines chosen for one request, those among them that had no permit for it: where many engines have limits,
/// they look idle, and each has to be asked for once.
const MAX_CHOICES: usize = 4 * MAX_CALLS;

/// Bytes that a request's head and the packets around it take, about.
const HEAD_BYTES: usize = 600;

/// A caller's request as it is passed on.
pub(crate) struct PassedRequest {
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    /// Headers that are passed on.
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// How a call came out, with what was expected of it, for the account of a request.
pub(crate) struct CallRecord {
    pub(crate) purpose: CallPurpose,
    pub(crate) engine: Arc<str>,
    pub(crate) outcome: &'static str,
    pub(crate) took: Duration,
    /// When it was chosen, counted from the request's begin.
    chosen_after: Duration,
    /// Expected seconds until the answer begins, with what risks and queues add.
    expected_s: f64,
    /// Prompt tokens that the engine was taken to read.
    unread_tokens: u32,
    /// Whether it was to take the rest from another engine.
    fetches: bool,
    /// What was known and learnt of the engine beside.
    pub(crate) signals: CallSignals,
}

/// What a call has to do with what its engine says of itself.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct CallSignals {
    /// Why the call did not go out.
    pub(crate) closed: Option<ClosedReason>,
    /// The limit that the engine was known to have when it was called.
    pub(crate) known_limit: Option<RequestRate>,
    /// What the answer said.
    pub(crate) said: EngineSignals,
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
    /// The same as the account of a call tells it.
    fn account(self) -> String {
        let mut text = String::new();
        match self.closed {
            Some(ClosedReason::Draining) => text.push_str(", it drains"),
            Some(ClosedReason::Backoff(_)) => text.push_str(", in its backoff"),
            Some(ClosedReason::Probing) => text.push_str(", just after its backoff"),
            Some(ClosedReason::Limit(_)) => text.push_str(", no permit"),
            None => {}
        }
        if self.said.draining {
            text.push_str(", says it drains");
        }
        if let Some(backoff) = self.said.backoff {
            text.push_str(&format!(", asks for {}ms", backoff.as_millis()));
        }
        if let Some(limit) = self.known_limit {
            text.push_str(&format!(", limited to {limit}"));
        }
        match self.said.limit {
            LimitSignal::Rate(limit) => text.push_str(&format!(", names a limit of {limit}")),
            LimitSignal::Invalid => text.push_str(", names an unreadable limit"),
            LimitSignal::Absent => {}
        }
        text
    }
}

impl CallRecord {
    /// Whether the engine was closed to the call, so that nothing went out.
    fn is_withheld(&self) -> bool {
        self.signals.closed.is_some()
    }

    /// The call as a line of the log tells it: `PURPOSE ENGINE OUTCOME TOOK (what was expected)`.
    fn account(&self) -> String {
        let mut text = format!(
            "{:?} {} {} {}ms (at {}ms, expected {}ms",
            self.purpose,
            self.engine,
            self.outcome,
            self.took.as_millis(),
            self.chosen_after.as_millis(),
            (self.expected_s * 1_000.0) as u64,
        );
        if self.unread_tokens > 0 {
            text.push_str(&format!(", reads {}", self.unread_tokens));
        }
        if self.fetches {
            text.push_str(", fetches");
        }
        text.push_str(&self.signals.account());
        text.push(')');
        text
    }
}

/// A request that is to be served.
pub(crate) struct Admitted {
    pub(crate) facts: RequestFacts,
    pub(crate) caller: Caller,
    pub(crate) passed: PassedRequest,
    pub(crate) table: Rc<RouteTable>,
    pub(crate) route: Arc<RouteTerms>,
    pub(crate) pools: Vec<PoolName>,
    pub(crate) fingerprint: Option<RequestFingerprint>,
    pub(crate) class: ClassKey,
    pub(crate) started: BootInstant,
}

/// One request under way.
pub(crate) struct Progress {
    pub(crate) facts: RequestFacts,
    /// Whose request it is.
    pub(crate) caller: Caller,
    pub(crate) passed: PassedRequest,
    pub(crate) table: Rc<RouteTable>,
    pub(crate) route: Arc<RouteTerms>,
    /// The first of its pools and its priority.
    pub(crate) class: ClassKey,
    /// Its class and its tenant's number, where tenants are declared.
    pub(crate) tenant: Option<TenantKey>,
    /// How it stands against its tenant's share, once an engine was chosen.
    pub(crate) share: Option<ShareAccount>,
    /// Prompt tokens that the engine first chosen would have to prefill.
    pub(crate) unread_tokens: u32,
    /// The pools that may serve it, in the order in which they are to be asked.
    pub(crate) pools: Vec<PoolName>,
    pub(crate) started: BootInstant,
    /// What it is known by when it comes again; `None` before the fleet's key is known.
    pub(crate) fingerprint: Option<RequestFingerprint>,
    /// Whether it is stopped, and runs once to see whether it still ends an engine.
    pub(crate) is_trial: bool,
    /// When its final answer is due.
    pub(crate) due: BootInstant,
    /// Engines called, so that another is taken.
    pub(crate) tried: Vec<EngineKey>,
    /// Whether it is counted as usage of its tenant.
    pub(crate) is_counted: bool,
    /// Engines at which it may have run.
    pub(crate) runs: u32,
    /// The calls that count, for the budget of repeated sends.
    pub(crate) call_counts: CallCounts,
    pub(crate) calls: Vec<CallRecord>,
    /// What was last expected of it, where its time is worked out.
    pub(crate) expected: Option<LatencyEstimate>,
    /// Its place in a pool that is short, until it is sent.
    pub(crate) place: Option<Place>,
    /// What decided whether it got one.
    pub(crate) admission: Option<AdmissionRecord>,
}

impl Progress {
    pub(crate) fn new(admitted: Admitted) -> Self {
        let Admitted {
            facts,
            caller,
            passed,
            table,
            route,
            pools,
            fingerprint,
            class,
            started,
        } = admitted;
        let limit = Duration::from_millis(route.time_limit_ms);
        let tenant = code_of(&caller).map(|code| (class.clone(), code));
        let held = facts.deadline.map_or(limit, |deadline| deadline.min(limit));
        Self {
            facts,
            caller,
            passed,
            table,
            route,
            class,
            tenant,
            share: None,
            unread_tokens: 0,
            pools,
            fingerprint,
            is_trial: false,
            started,
            due: started + held,
            tried: Vec::new(),
            is_counted: false,
            runs: 0,
            call_counts: CallCounts::default(),
            calls: Vec::new(),
            expected: None,
            place: None,
            admission: None,
        }
    }

    /// Time for which the caller still waits.
    pub(crate) fn deadline_left(&self) -> Option<Duration> {
        let deadline = self.facts.deadline?;
        Some(deadline.saturating_sub(self.started.elapsed()))
    }

    /// Time until the final answer is due.
    pub(crate) fn time_left(&self) -> Duration {
        self.due - BootInstant::now()
    }

    /// Whether it may be sent to another engine.
    pub(crate) fn may_run_again(&self) -> bool {
        let unproved = self.runs > 0;
        let withheld = self.calls.iter().filter(|call| call.is_withheld());
        let made = self.calls.len() - withheld.count();
        (!unproved || self.route.kind.is_repeatable())
            && self.runs < self.route.max_attempts
            && made < MAX_CALLS
            && self.calls.len() < MAX_CHOICES
    }

    /// Notes how a call came out.
    pub(crate) fn record(
        &mut self,
        purpose: CallPurpose,
        choice: &EngineChoice,
        outcome: &'static str,
        took: Duration,
        signals: CallSignals,
    ) -> &CallRecord {
        self.calls.push_mut(CallRecord {
            purpose,
            engine: Arc::clone(&choice.engine.run),
            outcome,
            took,
            chosen_after: self.started.elapsed().saturating_sub(took),
            expected_s: choice.expected_s,
            unread_tokens: choice.unread_tokens,
            fetches: choice.fetch_from.is_some(),
            signals,
        })
    }

    /// A head for an engine, without what it is told beside.
    pub(crate) fn head(&self) -> RequestHead {
        let mut head = RequestHead::default();
        head.method = self.passed.method.clone();
        head.uri = self.passed.uri.clone();
        head.headers = self.passed.headers.clone();
        head
    }

    /// Bytes of one send, about.
    pub(crate) fn sent_bytes(&self) -> usize {
        self.passed.body.len() + HEAD_BYTES
    }

    /// Parts of the prompt.
    pub(crate) fn parts(&self) -> Vec<PromptPart> {
        let parts = self.facts.parts.iter();
        parts
            .map(|(id, tokens)| PromptPart {
                id: *id,
                tokens: *tokens,
            })
            .collect()
    }

    /// What the choice among the engines of `pool` must know.
    pub(crate) fn staged(&self, settings: &ForwardingSettings, pool: &PoolName) -> StagedRequest {
        let terms = self.table.pool(pool);
        let prompt = terms.and_then(|terms| terms.prompt_engine);
        StagedRequest {
            parts: self.parts(),
            prompt_tokens: self.facts.prompt_tokens,
            token_bytes: prompt.map_or(0, |prompt| prompt.token_bytes),
            link_mbps: prompt.map_or(0.0, |prompt| prompt.link_mbps),
            send_s: settings.link_time(self.sent_bytes()).as_secs_f64(),
            tried: self.tried.clone(),
        }
    }

    /// The calls made, for the log.
    pub(crate) fn account(&self) -> String {
        let calls = self.calls.iter().map(CallRecord::account);
        calls.collect::<Vec<_>>().join("; ")
    }
}
