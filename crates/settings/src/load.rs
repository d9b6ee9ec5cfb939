//! The fields of a load report by their names.

use olivecart_decisions::LoadReport;

/// The field of a load report by its name in the settings, or as a backend may call it.
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
