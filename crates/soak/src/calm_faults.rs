//! Faults that are played in a calm, and checked by themselves: a runner that names a limit, and
//! requests with a part that crashes runners.

use std::time::{Duration, Instant};

use harness::CallerRequest;

use crate::plan::{CALM_FAULT_SPAN, ENGINES, NODES};
use crate::promises::{check_limit, check_part};
use crate::run::SoakRun;
use crate::site::STABLE_SPAN;

/// The limit that a runner names, in requests a second; far below what comes.
const LIMIT: f64 = 5.0;
/// Crashes after which a part has to be known.
const KNOWN_CRASHES: usize = 5;
/// Pause between two requests with a part that crashes runners; there is a spare for each.
const CRASH_PAUSE: Duration = Duration::from_millis(400);

impl SoakRun {
    /// A plain runner names a limit for a while.
    pub(crate) async fn play_limit(&self, desk: usize) {
        let named = Instant::now();
        let fake = &self.site.desks[desk].fake;
        fake.name_limit(Some(&LIMIT.to_string()));
        compio::time::sleep(CALM_FAULT_SPAN).await;
        let visits = fake.visits();
        fake.name_limit(None);
        if (0..NODES).all(|node| self.site.was_calm(node, named, Instant::now())) {
            *self.checks.borrow_mut() += 1;
            let broken = check_limit(fake.id(), LIMIT, named + STABLE_SPAN, &visits);
            self.breaches.borrow_mut().extend(broken);
        }
    }

    /// Requests with a part that crashes each engine come for a while, one after the other.
    pub(crate) async fn play_crash_part(&self, part: u32) {
        let part = format!("{part:08x}");
        for runner in self.site.engines.borrow().iter().chain(self.site.spares.borrow().iter()) {
            runner.fake.crash_on(&part);
        }
        let begin = Instant::now();
        let number = self.site.disturb(None, false);
        let mut crashes = Vec::new();
        let mut sent = 0;
        while begin.elapsed() < CALM_FAULT_SPAN {
            sent += 1;
            let attempt = format!("{part}-{sent}");
            let request = CallerRequest::stream(&attempt)
                .with("x-dotterelyard-length-hint", "10")
                .with("x-dotterelyard-prefix-hash", &format!("{part}:350,{attempt}:500"));
            self.site.fleet.send(sent % NODES, &request).await;
            self.replace_crashed(&mut crashes);
            compio::time::sleep(CRASH_PAUSE).await;
        }
        self.site.calm(number);
        let known = crashes.get(KNOWN_CRASHES - 1).or(crashes.last()).copied();
        if let Some(known) = known
            && self.site.was_calm_beside(number, begin)
        {
            *self.checks.borrow_mut() += 1;
            let broken = check_part(&part, known + STABLE_SPAN, &self.site.visits());
            self.breaches.borrow_mut().extend(broken);
        }
    }

    /// Puts spares in the place of engines that have crashed, and notes when.
    fn replace_crashed(&self, crashes: &mut Vec<Instant>) {
        for engine in 0..ENGINES {
            let has_crashed = self.site.engines.borrow()[engine].fake.has_crashed();
            if has_crashed && let Some(id) = self.replace(engine) {
                crashes.push(Instant::now());
                self.with_gone(&id, |runner| self.site.remove(runner));
            }
        }
    }
}
