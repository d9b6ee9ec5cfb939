//! Looks up the fields of a load report by name.

use olivecart_decisions::LoadReport;

/// Returns the field with this name, which is a name in the settings or an alias that backends use.
pub fn load_field<'a>(load: &'a mut LoadReport, name: &str) -> Option<&'a mut Option<f64>> {
    match name {
        "active" | "inflight" => Some(&mut load.active),
        "waiting" | "queue" => Some(&mut load.waiting),
        "cpu" | "util" => Some(&mut load.cpu),
        "avg_ms" | "latency_ms" => Some(&mut load.service_ms),
        "rps" | "qps" => Some(&mut load.rate),
        "err_rps" | "eps" => Some(&mut load.error_rate),
        _ => None,
    }
}
