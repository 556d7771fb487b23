//! Process of one node: settings, start, reload, stop, metrics and the capacity report.

pub(crate) mod capacity;
pub(crate) mod capacity_report;
pub(crate) mod era_store;
pub(crate) mod in_flight;
pub(crate) mod metered_store;
pub(crate) mod metrics;
pub(crate) mod ready;
pub(crate) mod reload;
pub(crate) mod settings;
pub(crate) mod shutdown;
pub(crate) mod start;
pub(crate) mod stop;
