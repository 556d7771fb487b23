//! `apply` reports success or failure only if that is certain, and otherwise that it is in doubt.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

use async_trait::async_trait;
use dalestand_edge::{
    CasOutcome, Entry, KeyValue, LeaseId, Listing, PlatformError, WatchBatch, WriteExpectation,
};
use dalestand_standin::key_value::Store;
use dalestand_types::Revision;
use error_stack::Report;

use super::{Draft, apply};
use crate::configuration::CONFIGURATION_KEY;
use crate::error::ApplyError;

const TEXT: &str = "format = 1\nname = \"t\"\ncallers.require_key = false\n\
    [[model]]\nname = \"m\"\nversion = \"1\"\nweights_gib = 1.0\n\
    [[pool]]\nname = \"p\"\nmodels = [\"m\"]\n\
    [[group]]\npool = \"p\"\nzone = \"z\"\nengines = [\"e\"]\n";

/// Behavior of the service for one write.
enum WriteBehavior {
    /// The write takes effect but its answer is lost; then others apply `followers` times.
    AnswerLost { followers: usize },
    /// The write takes effect only after the next one, and its answer is lost.
    Late,
    /// The write is lost; then others apply `followers` times.
    LostBefore { followers: usize },
    /// The write is refused without effect.
    Refused,
}

type LateWrite = (WriteExpectation, String);

#[derive(Default)]
struct ScriptedKeyValue {
    store: RefCell<Store>,
    behaviors: RefCell<VecDeque<WriteBehavior>>,
    late: RefCell<Option<LateWrite>>,
}

fn in_doubt() -> Report<PlatformError> {
    Report::new(PlatformError::InDoubt {
        system: "key-value service",
        message: "lost".to_owned(),
    })
}

impl ScriptedKeyValue {
    fn new(behaviors: impl IntoIterator<Item = WriteBehavior>) -> Self {
        Self {
            behaviors: RefCell::new(behaviors.into_iter().collect()),
            ..Self::default()
        }
    }

    fn write(&self, expectation: WriteExpectation, value: &str) -> CasOutcome {
        let value = Some(value.to_owned());
        let mut store = self.store.borrow_mut();
        let outcome = store.compare_and_swap(CONFIGURATION_KEY, expectation, value, None);
        outcome.expect("a write without a lease")
    }

    async fn apply_as_others(&self, times: usize) {
        for number in 0..times {
            let other = Box::pin(apply(self, None, draft(&format!("other {number}"))));
            other.await.expect("applied without a conflict");
        }
    }
}

#[async_trait(?Send)]
impl KeyValue for ScriptedKeyValue {
    async fn get(&self, key: &str) -> Result<Option<Entry>, Report<PlatformError>> {
        Ok(self.store.borrow().get(key))
    }

    async fn range(&self, prefix: &str) -> Result<Listing, Report<PlatformError>> {
        Ok(self.store.borrow().range(prefix))
    }

    async fn compare_and_swap(
        &self,
        _key: &str,
        expectation: WriteExpectation,
        value: Option<&str>,
        _lease: Option<LeaseId>,
    ) -> Result<CasOutcome, Report<PlatformError>> {
        let value = value.unwrap_or_default();
        let behavior = self.behaviors.borrow_mut().pop_front();
        match behavior {
            None => {
                let outcome = self.write(expectation, value);
                if let Some((expectation, value)) = self.late.take() {
                    self.write(expectation, &value);
                }
                Ok(outcome)
            }
            Some(WriteBehavior::AnswerLost { followers }) => {
                self.write(expectation, value);
                self.apply_as_others(followers).await;
                Err(in_doubt())
            }
            Some(WriteBehavior::LostBefore { followers }) => {
                self.apply_as_others(followers).await;
                Err(in_doubt())
            }
            Some(WriteBehavior::Late) => {
                self.late.replace(Some((expectation, value.to_owned())));
                Err(in_doubt())
            }
            Some(WriteBehavior::Refused) => Err(Report::new(PlatformError::OutOfService {
                retry_after: None,
                system: "key-value service",
            })),
        }
    }

    async fn watch(
        &self,
        prefix: &str,
        after: Revision,
        _wait: Duration,
    ) -> Result<WatchBatch, Report<PlatformError>> {
        Ok(self.store.borrow().changes(prefix, after))
    }

    async fn grant_lease(&self, time_to_live: Duration) -> Result<LeaseId, Report<PlatformError>> {
        let mut store = self.store.borrow_mut();
        Ok(store.grant_lease(time_to_live, Instant::now()))
    }

    async fn renew_lease(&self, lease: LeaseId) -> Result<bool, Report<PlatformError>> {
        Ok(self.store.borrow_mut().renew_lease(lease, Instant::now()))
    }

    async fn revoke_lease(&self, lease: LeaseId) -> Result<(), Report<PlatformError>> {
        self.store.borrow_mut().revoke_lease(lease);
        Ok(())
    }
}

fn draft(author: &str) -> Draft {
    Draft {
        writer: format!("writer {author}"),
        author: author.to_owned(),
        unix_ms: 1_700_000_000_000,
        text: TEXT.to_owned(),
    }
}

async fn outcome(key_value: &ScriptedKeyValue) -> Result<Revision, ApplyError> {
    let applied = apply(key_value, None, draft("me"))
        .await
        .map(|one| one.revision);
    applied.map_err(|report| report.current_context().clone())
}

#[actix_rt::test]
async fn a_write_whose_answer_was_lost_reports_its_own_revision() {
    let key_value = ScriptedKeyValue::new([WriteBehavior::AnswerLost { followers: 0 }]);
    assert_eq!(outcome(&key_value).await, Ok(Revision(1)));
}

#[actix_rt::test]
async fn a_replaced_write_is_found_in_the_history() {
    let key_value = ScriptedKeyValue::new([WriteBehavior::AnswerLost { followers: 3 }]);
    assert_eq!(outcome(&key_value).await, Ok(Revision(1)));
}

#[actix_rt::test]
async fn a_write_that_lands_late_takes_effect_once() {
    let key_value = ScriptedKeyValue::new([WriteBehavior::Late]);
    assert_eq!(outcome(&key_value).await, Ok(Revision(1)));
    let changes = key_value.store.borrow().changes("", Revision(0));
    assert_eq!(changes.events.len(), 1);
}

#[actix_rt::test]
async fn a_lost_write_that_others_preceded_is_a_conflict() {
    let key_value = ScriptedKeyValue::new([WriteBehavior::LostBefore { followers: 2 }]);
    assert_eq!(outcome(&key_value).await, Err(ApplyError::Conflict));
}

#[actix_rt::test]
async fn a_lost_write_older_than_the_history_stays_in_doubt() {
    let key_value = ScriptedKeyValue::new([WriteBehavior::LostBefore { followers: 20 }]);
    assert_eq!(outcome(&key_value).await, Err(ApplyError::InDoubt));
}

#[actix_rt::test]
async fn a_write_in_doubt_stays_in_doubt_during_an_outage() {
    let behaviors = [
        WriteBehavior::AnswerLost { followers: 0 },
        WriteBehavior::Refused,
        WriteBehavior::Refused,
        WriteBehavior::Refused,
    ];
    let key_value = ScriptedKeyValue::new(behaviors);
    assert_eq!(outcome(&key_value).await, Err(ApplyError::InDoubt));
    let refused = ScriptedKeyValue::new([WriteBehavior::Refused]);
    assert_eq!(outcome(&refused).await, Err(ApplyError::Unavailable));
}

#[actix_rt::test]
async fn a_conflict_names_revision_author_and_time() {
    let key_value = ScriptedKeyValue::default();
    apply(&key_value, None, draft("first"))
        .await
        .expect("applied");
    let late = apply(&key_value, Some(Revision(0)), draft("second")).await;
    let report = format!("{:?}", late.expect_err("a conflict"));
    assert!(
        report.contains("revision 1 stands there, applied by first at 2023-11-14T22:13:20Z"),
        "{report}"
    );
}
