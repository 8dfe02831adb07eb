//! What a stack consists of.

use std::path::PathBuf;

/// One of our machines: a steward and an entry.
#[derive(Debug, Clone)]
pub struct VmPlan {
    /// Name of the machine.
    pub vm: String,
    /// Failure domain.
    pub place: String,
}

/// One target.
#[derive(Debug, Clone)]
pub struct RunnerPlan {
    /// Name of the target.
    pub runner: String,
    /// Its service.
    pub service: String,
    /// Failure domain.
    pub place: String,
    /// Models of an engine; empty for a plain service.
    pub models: Vec<String>,
    /// Further arguments of its stand-in.
    pub arguments: Vec<String>,
    /// Put a link before it that tests can cut.
    pub linked: bool,
}

/// A whole stack.
#[derive(Debug, Clone, Default)]
pub struct StackPlan {
    /// Our machines.
    pub vms: Vec<VmPlan>,
    /// The targets.
    pub runners: Vec<RunnerPlan>,
    /// Folders of published files.
    pub publish: Vec<PathBuf>,
    /// Further arguments of the log's stand-in.
    pub log_arguments: Vec<String>,
    /// Overrides of the entries' settings, `NAME=VALUE`.
    pub entry_settings: Vec<String>,
    /// Overrides of the stewards' settings, `NAME=VALUE`.
    pub steward_settings: Vec<String>,
}

impl StackPlan {
    /// Machines `vm-1`, `vm-2`, …, one in each place in turn.
    #[must_use]
    pub fn with_vms(mut self, count: usize, places: &[&str]) -> Self {
        for index in 0..count {
            let place = places[index % places.len()].to_owned();
            self.vms.push(VmPlan { vm: format!("vm-{}", index + 1), place });
        }
        self
    }

    /// Targets `SERVICE-1`, `SERVICE-2`, …, one in each place in turn; engines if there
    /// are `models`.
    #[must_use]
    pub fn with_runners(
        mut self,
        service: &str,
        count: usize,
        places: &[&str],
        models: &[&str],
        arguments: &[&str],
    ) -> Self {
        for index in 0..count {
            self.runners.push(RunnerPlan {
                runner: format!("{service}-{}", index + 1),
                service: service.to_owned(),
                place: places[index % places.len()].to_owned(),
                models: models.iter().map(|&model| model.to_owned()).collect(),
                arguments: arguments.iter().map(|&argument| argument.to_owned()).collect(),
                linked: false,
            });
        }
        self
    }

    /// Publishes the files of this folder.
    #[must_use]
    pub fn with_files(mut self, folder: impl Into<PathBuf>) -> Self {
        self.publish.push(folder.into());
        self
    }

    /// Puts links before all targets of a service.
    #[must_use]
    pub fn with_links(mut self, service: &str) -> Self {
        for plan in self.runners.iter_mut().filter(|plan| plan.service == service) {
            plan.linked = true;
        }
        self
    }
}
