//! A node: settings, start, reload, stop, figures.

pub(crate) mod counts;
pub(crate) mod era_store;
pub(crate) mod metered_store;
pub(crate) mod metrics;
pub(crate) mod ready;
pub(crate) mod reload;
pub(crate) mod room;
pub(crate) mod room_report;
pub(crate) mod settings;
pub(crate) mod start;
pub(crate) mod stop;
