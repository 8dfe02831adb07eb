//! Replay of calls at several entries on engines of different speed, in virtual time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::ops::RangeInclusive;

use base::BlockCount;
use base::prelude::*;
use config::CallPriority;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use route::{CallEnd, CallId, MemoryForecast, RouteAction, RouteCall, RouteEvent, RouteScheduler};

use crate::common::{runner, service};
use crate::replay_input::{
    Arrival, DISTURBED_FACTOR, DISTURBED_SHARE, ENTRIES, EVENT_TOKENS, LONG_OUTPUT, MEASURED,
    PAUSE_BOUND, RUNNERS, WARM_UP, draw_arrivals, scheduler, start,
};

/// Memory of an engine in tokens.
const MEMORY: u32 = 32_768;
/// Time after the last arrival in which calls end.
const DRAIN: TimeSpan = TimeSpan::seconds(15);
const STEP_MICROS: f64 = 7_000.0;
const STEP_MICROS_PER_CALL: f64 = 120.0;
const CHUNK_TOKENS: u32 = 112;
const MICROS_PER_PROMPT_TOKEN: f64 = 1_000.0 / 14.0;
const FIRST_TOKEN_TARGET: TimeSpan = TimeSpan::millis(1_800);
const DISTURBANCE: TimeSpan = TimeSpan::millis(600);
const EXCHANGE: TimeSpan = TimeSpan::millis(100);
const TICK: TimeSpan = TimeSpan::millis(10);

pub struct ReplayPlan {
    /// Factors of the time that work takes; the runners have them in turn.
    pub speeds: [f64; 3],
    /// Some runners are slowed down, others after a time.
    pub disturbed: bool,
    /// Share of the capacity.
    pub load: f64,
    /// Runners state their factor with the first token.
    pub states_figures: bool,
    pub seeds: RangeInclusive<u64>,
}

#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ReplayFigures {
    pub finished: usize,
    pub refused: usize,
    /// Time to first token in microseconds, from the arrival.
    pub first_p99: u64,
    /// Pause between two events of a stream in microseconds.
    pub pause_p99: u64,
    /// Long streams with a pause above the bound, and streams that began too late.
    pub late_streams: usize,
    pub late_firsts: usize,
}

#[derive(Clone)]
struct Run {
    call: u64,
    prompt_left: u32,
    produced: u32,
    output: u32,
    context: u32,
}

#[derive(Default)]
struct Engine {
    waiting: VecDeque<Run>,
    running: Vec<Run>,
    stepping: bool,
    disturbed: bool,
    /// Tokens of a prompt that the step under way prefills.
    chunk: u32,
}

#[derive(PartialEq, Eq, PartialOrd, Ord, Clone, Copy)]
enum Due {
    Noise,
    Exchange,
    StepEnd(usize),
    Arrive(usize),
    Tick,
}

struct Replay<'a> {
    plan: &'a ReplayPlan,
    seed: u64,
    now: TimePoint,
    due: BinaryHeap<Reverse<(TimePoint, Due)>>,
    entries: Vec<RouteScheduler>,
    engines: Vec<Engine>,
    arrivals: Vec<Arrival>,
    /// Entry, runner and context of each call that was sent, and whether it has begun.
    open: BTreeMap<u64, (usize, usize, u32, bool)>,
    last_event: BTreeMap<u64, TimePoint>,
    longest_pause: BTreeMap<u64, u64>,
    firsts: Vec<u64>,
    pauses: Vec<u64>,
    finished: usize,
    refused: usize,
    sequence: u64,
}

/// Replays the plan with each seed, with or without the use of speeds, and pools the results.
pub fn replay(plan: &ReplayPlan, uses_speeds: bool) -> ReplayFigures {
    let mut figures = ReplayFigures::default();
    let (mut firsts, mut pauses) = (Vec::new(), Vec::new());
    for seed in plan.seeds.clone() {
        let mut replay = Replay::new(plan, seed, uses_speeds);
        replay.run();
        let late = replay.longest_pause.iter().filter(|(call, longest)| {
            replay.is_measured(**call)
                && replay.arrivals[**call as usize].output >= LONG_OUTPUT
                && **longest > PAUSE_BOUND.0
        });
        figures.late_streams += late.count();
        figures.finished += replay.finished;
        figures.refused += replay.refused;
        firsts.extend(replay.firsts);
        pauses.extend(replay.pauses);
    }
    figures.late_firsts = firsts.iter().filter(|first| **first > FIRST_TOKEN_TARGET.0).count();
    figures.first_p99 = percentile(&mut firsts, 0.99);
    figures.pause_p99 = percentile(&mut pauses, 0.99);
    figures
}

fn percentile(values: &mut [u64], share: f64) -> u64 {
    values.sort_unstable();
    values.get((values.len() as f64 * share) as usize).copied().unwrap_or(0)
}

impl<'a> Replay<'a> {
    fn new(plan: &'a ReplayPlan, seed: u64, uses_speeds: bool) -> Self {
        let mut replay = Self {
            plan,
            seed,
            now: start(),
            due: BinaryHeap::new(),
            entries: (0..ENTRIES)
                .map(|entry| scheduler(seed * 100 + entry as u64, uses_speeds))
                .collect(),
            engines: (0..RUNNERS).map(|_| Engine::default()).collect(),
            arrivals: draw_arrivals(plan, seed),
            open: BTreeMap::new(),
            last_event: BTreeMap::new(),
            longest_pause: BTreeMap::new(),
            firsts: Vec::new(),
            pauses: Vec::new(),
            finished: 0,
            refused: 0,
            sequence: 0,
        };
        for (number, arrival) in replay.arrivals.iter().enumerate() {
            replay.due.push(Reverse((arrival.at, Due::Arrive(number))));
        }
        for due in [Due::Noise, Due::Exchange, Due::Tick] {
            replay.due.push(Reverse((start(), due)));
        }
        replay
    }

    fn run(&mut self) {
        let end = start() + WARM_UP + MEASURED + DRAIN;
        let mut noise = StdRng::seed_from_u64(self.seed + 1_000);
        while let Some(Reverse((at, due))) = self.due.pop() {
            if at > end {
                break;
            }
            self.now = at;
            match due {
                Due::Noise => {
                    for engine in &mut self.engines {
                        let drawn = noise.random_bool(DISTURBED_SHARE);
                        engine.disturbed = drawn && self.plan.disturbed;
                    }
                    self.due.push(Reverse((at + DISTURBANCE, due)));
                }
                Due::Exchange => {
                    self.exchange();
                    self.due.push(Reverse((at + EXCHANGE, due)));
                }
                Due::Tick => {
                    for entry in 0..ENTRIES {
                        self.tell(entry, RouteEvent::Tick);
                    }
                    self.due.push(Reverse((at + TICK, due)));
                }
                Due::Arrive(number) => self.arrive(number),
                Due::StepEnd(slot) => self.end_step(slot),
            }
        }
    }

    fn arrive(&mut self, number: usize) {
        let Arrival { entry, at, prompt, output } = self.arrivals[number];
        let call = RouteCall {
            id: CallId(number as u64),
            service: service(),
            model: None,
            workspace: "workspace".parse().unwrap(),
            priority: CallPriority::Urgent,
            prompt_tokens: TokenCount(prompt),
            max_tokens: TokenCount(800),
            length_hint: Some(TokenCount(output)),
            prefix_hash: 0,
            first_token_target: Some(at + FIRST_TOKEN_TARGET),
            deadline: at + TimeSpan::seconds(15),
            streamed: true,
            movable: false,
            produced_tokens: TokenCount(0),
            tried_runners: Vec::new(),
        };
        self.tell(entry, RouteEvent::Arrive(call));
    }

    fn tell(&mut self, entry: usize, event: RouteEvent) {
        let actions = self.entries[entry].handle(self.now, event);
        self.perform(entry, actions);
    }

    fn perform(&mut self, entry: usize, actions: Vec<RouteAction>) {
        for action in actions {
            match action {
                RouteAction::Send { call, runner, .. } => {
                    let Arrival { prompt, output, .. } = self.arrivals[call.0 as usize];
                    let slot = (0..RUNNERS).find(|slot| crate::common::runner(*slot) == runner);
                    let slot = slot.unwrap();
                    self.open.insert(call.0, (entry, slot, prompt, false));
                    let run = Run {
                        call: call.0,
                        prompt_left: prompt,
                        produced: 0,
                        output,
                        context: prompt,
                    };
                    self.engines[slot].waiting.push_back(run);
                    self.begin_step(slot);
                }
                RouteAction::Refuse { call, .. } => {
                    self.refused += usize::from(self.is_measured(call.0));
                }
                RouteAction::Withdraw { .. } => unreachable!("calls are not movable"),
            }
        }
    }

    fn is_measured(&self, call: u64) -> bool {
        self.arrivals[call as usize].at >= start() + WARM_UP
    }

    fn factor(&self, slot: usize) -> f64 {
        let noise = if self.engines[slot].disturbed { DISTURBED_FACTOR } else { 1.0 };
        self.plan.speeds[slot % self.plan.speeds.len()] * noise
    }

    fn begin_step(&mut self, slot: usize) {
        let factor = self.factor(slot);
        let engine = &mut self.engines[slot];
        if engine.stepping {
            return;
        }
        let mut used: u32 = engine.running.iter().map(|run| run.context).sum();
        while let Some(run) = engine.waiting.front()
            && used + run.context <= MEMORY
        {
            used += run.context;
            engine.running.extend(engine.waiting.pop_front());
        }
        if engine.running.is_empty() {
            return;
        }
        let prompt = engine.running.iter().find(|run| run.prompt_left > 0);
        engine.chunk = prompt.map_or(0, |run| run.prompt_left.min(CHUNK_TOKENS));
        let micros = STEP_MICROS
            + STEP_MICROS_PER_CALL * engine.running.len() as f64
            + MICROS_PER_PROMPT_TOKEN * f64::from(engine.chunk);
        engine.stepping = true;
        let end = self.now + TimeSpan::micros((micros * factor) as u64);
        self.due.push(Reverse((end, Due::StepEnd(slot))));
    }

    fn end_step(&mut self, slot: usize) {
        let engine = &mut self.engines[slot];
        engine.stepping = false;
        let mut chunk = std::mem::take(&mut engine.chunk);
        let mut events = Vec::new();
        let mut ended = Vec::new();
        for run in &mut engine.running {
            if run.prompt_left > 0 {
                run.prompt_left -= chunk;
                chunk = 0;
                if run.prompt_left > 0 {
                    continue;
                }
            }
            run.produced += 1;
            run.context += 1;
            if run.produced % EVENT_TOKENS == 0 || run.produced == run.output {
                events.push((run.call, run.produced));
            }
            if run.produced == run.output {
                ended.push(run.call);
            }
        }
        engine.running.retain(|run| run.produced < run.output);
        for (call, produced) in events {
            self.record_event(call, produced);
        }
        for call in ended {
            let Some((entry, ..)) = self.open.remove(&call) else { continue };
            self.finished += usize::from(self.is_measured(call));
            self.last_event.remove(&call);
            self.tell(entry, RouteEvent::Ended { call: CallId(call), end: CallEnd::Finished });
        }
        self.begin_step(slot);
    }

    fn record_event(&mut self, call: u64, produced: u32) {
        let arrived = self.arrivals[call as usize].at;
        let measured = self.is_measured(call);
        let Some(open) = self.open.get_mut(&call) else { return };
        open.2 = self.arrivals[call as usize].prompt + produced;
        let is_first = !std::mem::replace(&mut open.3, true);
        let (entry, slot) = (open.0, open.1);
        if let Some(last) = self.last_event.insert(call, self.now) {
            let pause = self.now.since(last).0;
            let longest = self.longest_pause.entry(call).or_default();
            *longest = pause.max(*longest);
            if measured {
                self.pauses.push(pause);
            }
        } else if measured {
            self.firsts.push(self.now.since(arrived).0);
        }
        if is_first && self.plan.states_figures {
            let factor = self.factor(slot);
            self.tell(entry, RouteEvent::SpeedFigure { runner: runner(slot), factor });
        }
        let index = TokenIndex(produced - 1);
        self.tell(entry, RouteEvent::Progress { call: CallId(call), index });
    }

    /// Each entry is told the loads and the observed speeds of the others.
    fn exchange(&mut self) {
        self.sequence += 1;
        for sender in 0..ENTRIES {
            for statement in self.entries[sender].take_speed_statements(64) {
                for entry in (0..ENTRIES).filter(|entry| *entry != sender) {
                    self.tell(entry, RouteEvent::SpeedTold(statement.clone()));
                }
            }
        }
        let mut forecasts = vec![vec![MemoryForecast::default(); RUNNERS]; ENTRIES];
        let mut loads = [(0_u32, 0_u32, 0_u64); RUNNERS];
        for (call, (entry, slot, context, began)) in &self.open {
            forecasts[*entry][*slot] +=
                self.entries[*entry].call_forecast(CallId(*call)).unwrap_or_default();
            let load = &mut loads[*slot];
            load.0 += 1;
            load.1 += context;
            load.2 += if *began { 0 } else { u64::from(*context) };
        }
        for entry in 0..ENTRIES {
            let mut events = Vec::new();
            for (slot, (calls, used, prefill)) in loads.iter().enumerate() {
                let mut others = MemoryForecast::default();
                for other in (0..ENTRIES).filter(|other| *other != entry) {
                    others += forecasts[other][slot];
                }
                let runner = runner(slot);
                let report = RunnerReport {
                    sequence: self.sequence,
                    age: TimeSpan::default(),
                    used_blocks: BlockCount(*used),
                    total_blocks: BlockCount(MEMORY),
                    block_tokens: 1,
                    step: TimeSpan::default(),
                    models: Vec::new(),
                    ..crate::common::report(slot, 0, *calls)
                };
                let tokens = *prefill;
                events.push(RouteEvent::PendingPrefill { runner: runner.clone(), tokens });
                events.push(RouteEvent::OtherForecast { runner, forecast: others });
                events.push(RouteEvent::Report(report));
            }
            let actions = self.entries[entry].handle_all(self.now, events);
            self.perform(entry, actions);
        }
    }
}
