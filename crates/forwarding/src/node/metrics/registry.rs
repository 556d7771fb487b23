//! Creates metrics and registers them.

use prometheus::{
    GaugeVec, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge,
    IntGaugeVec, Opts, Registry,
};

/// Prefix of all metric names.
const PREFIX: &str = "dalestand";

/// A Prometheus registry with constructors for registered metrics.
pub(super) struct MetricsRegistry(Registry);

impl MetricsRegistry {
    pub(super) fn new() -> Result<Self, prometheus::Error> {
        Ok(Self(Registry::new_custom(Some(PREFIX.to_owned()), None)?))
    }

    pub(super) fn into_registry(self) -> Registry {
        self.0
    }

    pub(super) fn counter(&self, name: &str, help: &str) -> Result<IntCounter, prometheus::Error> {
        let counter = IntCounter::new(name, help)?;
        self.0.register(Box::new(counter.clone()))?;
        Ok(counter)
    }

    pub(super) fn counters(
        &self,
        name: &str,
        help: &str,
        labels: &[&str],
    ) -> Result<IntCounterVec, prometheus::Error> {
        let counters = IntCounterVec::new(Opts::new(name, help), labels)?;
        self.0.register(Box::new(counters.clone()))?;
        Ok(counters)
    }

    pub(super) fn gauge(&self, name: &str, help: &str) -> Result<IntGauge, prometheus::Error> {
        let gauge = IntGauge::new(name, help)?;
        self.0.register(Box::new(gauge.clone()))?;
        Ok(gauge)
    }

    pub(super) fn gauges(
        &self,
        name: &str,
        help: &str,
        labels: &[&str],
    ) -> Result<IntGaugeVec, prometheus::Error> {
        let gauges = IntGaugeVec::new(Opts::new(name, help), labels)?;
        self.0.register(Box::new(gauges.clone()))?;
        Ok(gauges)
    }

    /// Floating-point gauges.
    pub(super) fn float_gauges(
        &self,
        name: &str,
        help: &str,
        labels: &[&str],
    ) -> Result<GaugeVec, prometheus::Error> {
        let gauges = GaugeVec::new(Opts::new(name, help), labels)?;
        self.0.register(Box::new(gauges.clone()))?;
        Ok(gauges)
    }

    /// `bounds` are the upper bounds of the buckets, in seconds.
    pub(super) fn histogram(
        &self,
        name: &str,
        help: &str,
        bounds: &[f64],
    ) -> Result<Histogram, prometheus::Error> {
        let options = HistogramOpts::new(name, help).buckets(bounds.to_vec());
        let histogram = Histogram::with_opts(options)?;
        self.0.register(Box::new(histogram.clone()))?;
        Ok(histogram)
    }

    /// `bounds` are the upper bounds of the buckets, in seconds.
    pub(super) fn histograms(
        &self,
        name: &str,
        help: &str,
        bounds: &[f64],
        labels: &[&str],
    ) -> Result<HistogramVec, prometheus::Error> {
        let options = HistogramOpts::new(name, help).buckets(bounds.to_vec());
        let histograms = HistogramVec::new(options, labels)?;
        self.0.register(Box::new(histograms.clone()))?;
        Ok(histograms)
    }
}
