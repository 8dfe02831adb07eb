//! What targets say about themselves before and after a load.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use base::{RunnerReport, TimeSpan};
use fakes::engine_server::EngineStats;
use web::fetch_json;

/// Time for one question to a target.
const ASK_LIMIT: TimeSpan = TimeSpan::seconds(5);

/// Figures of all targets at one moment; a target that does not answer has none.
#[derive(Debug, Clone, Default)]
pub struct TargetStats {
    /// Incarnation of each service that answers.
    pub incarnations: BTreeMap<SocketAddr, u64>,
    /// How often each booking key ran, over all services that answer.
    pub counts: BTreeMap<String, u64>,
    /// Preemptions and recomputed tokens of each engine that answers.
    pub engines: BTreeMap<SocketAddr, (u64, u64)>,
}

impl TargetStats {
    /// Asks every target.
    pub async fn ask(services: &[SocketAddr], engines: &[SocketAddr]) -> Self {
        let mut stats = Self::default();
        for &peer in services {
            stats.ask_service(peer).await;
        }
        for &peer in engines {
            let figures = fetch_json::<EngineStats>("engine stats", peer, "/stats", ASK_LIMIT);
            if let Ok(figures) = figures.await {
                stats.engines.insert(peer, (figures.preemptions, figures.recomputed));
            }
        }
        stats
    }

    async fn ask_service(&mut self, peer: SocketAddr) {
        let report = fetch_json::<RunnerReport>("service load", peer, "/load", ASK_LIMIT).await;
        let counts =
            fetch_json::<BTreeMap<String, u64>>("booking counts", peer, "/counts", ASK_LIMIT).await;
        let (Ok(report), Ok(counts)) = (report, counts) else { return };
        self.incarnations.insert(peer, report.incarnation);
        for (key, count) in counts {
            *self.counts.entry(key).or_default() += count;
        }
    }

    /// Whether every service of `before` still has its counts.
    pub fn keeps_counts(&self, before: &Self, services: usize) -> bool {
        before.incarnations.len() == services && self.incarnations == before.incarnations
    }

    /// Preemptions and recomputed tokens since `before`; an engine that was started anew
    /// or does not answer counts from zero or not at all.
    pub fn engine_work_since(&self, before: &Self) -> (u64, u64) {
        let mut work = (0, 0);
        for (peer, now) in &self.engines {
            let then = before.engines.get(peer).copied().unwrap_or_default();
            let restarted = now.0 < then.0 || now.1 < then.1;
            let then = if restarted { (0, 0) } else { then };
            work = (work.0 + now.0 - then.0, work.1 + now.1 - then.1);
        }
        work
    }
}
