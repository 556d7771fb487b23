//! Handles reports of members.

use std::net::SocketAddr;

use dalestand_dissemination::Report;
use dalestand_routing::staged::{LoadSource, ReportSlice};

use crate::context::Context;
use crate::dissemination::receive::loads::{apply_demand, apply_work};
use crate::dissemination::receive::news::apply_news;

/// Applies a report. A node that is not a relay does not answer, nor does one that leaves members to others, so that
/// the member probes others.
pub(super) fn handle(context: &Context, sender: SocketAddr, report: Report) {
    let now = context.now();
    let dissemination = &context.dissemination;
    if !dissemination.role(now).is_relay {
        return;
    }
    if report.is_probe && dissemination.leaves_members_to_others(now) {
        return;
    }
    let is_new = dissemination.subscribers.borrow_mut().record_report(
        now,
        report.node,
        sender,
        report.sequence,
    );
    if !is_new {
        return;
    }
    if report.is_probe {
        // Triggers a table, which answers the probe.
        context.work_changed.notify_one();
        return;
    }
    let source = LoadSource::Member(report.node.0);
    apply_work(context, source, ReportSlice::WHOLE, 0, &report.work);
    apply_demand(context, source, report.demand);
    context.work_changed.notify_one();
    apply_news(context, &report.news);
    dissemination
        .exchange_news
        .borrow_mut()
        .push(report.news.clone());
    dissemination.table_news.borrow_mut().push(report.news);
}
