//! Builds the plan in force from the published files.

use std::collections::BTreeMap;
use std::sync::Arc;

use base::{LogOffset, ServiceName};

use crate::{ConfigPlan, ConfigState, FileKind, FileVersion, ParsedFile, UnusableFile};

/// The state of one file.
#[derive(Debug, Clone)]
struct FileStatus {
    version: LogOffset,
    /// Why this version cannot be used.
    fault: Option<Arc<str>>,
    /// The last version that can be used.
    usable: Option<UsableFile>,
}

/// A version of a file that this release can use.
#[derive(Debug, Clone)]
struct UsableFile {
    version: LogOffset,
    parsed: ParsedFile,
}

/// Builds plans, and keeps the last usable version of each file.
#[derive(Debug, Clone, Default)]
pub struct PlanBuilder {
    files: BTreeMap<Arc<str>, FileStatus>,
    /// The last accepted record of the last plan; only newer versions are parsed.
    built: LogOffset,
}

impl PlanBuilder {
    /// A builder without files.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// The plan for `state`, which is not older than the previous one; only files whose
    /// version changed are parsed.
    pub fn build(&mut self, state: &ConfigState) -> ConfigPlan {
        let built = self.built;
        for (path, file) in state.files.iter().filter(|(_, file)| file.version > built) {
            self.parse_file(path, file);
        }
        if self.files.len() > state.files.len() {
            self.files.retain(|path, _| state.files.contains_key(path));
        }
        self.built = state.accepted;
        let (mut services, mut workspaces, mut overrides) = (Vec::new(), Vec::new(), Vec::new());
        for file in self.files.values() {
            match file.usable.as_ref().map(|usable| &usable.parsed) {
                Some(ParsedFile::Service(service)) => services.push(Arc::clone(service)),
                Some(ParsedFile::Workspaces(file)) => workspaces.push(file.clone()),
                Some(ParsedFile::Overrides(file)) => overrides.push(file.clone()),
                None => (),
            }
        }
        let count = services.len();
        let mut plan = ConfigPlan::new(state.accepted, services, workspaces, overrides);
        plan.unusable = self.faulty_files();
        if plan.services.len() < count {
            plan.unusable.extend(self.conflicts());
        }
        let oldest_fault = plan.unusable.iter().map(|file| LogOffset(file.version.0 - 1)).min();
        plan.in_force = oldest_fault.unwrap_or(plan.offset);
        plan
    }

    /// Files whose service is defined in an earlier file too; the earlier one is used.
    fn conflicts(&self) -> Vec<UnusableFile> {
        let mut defined: BTreeMap<&ServiceName, (&Arc<str>, LogOffset)> = BTreeMap::new();
        let mut conflicts = Vec::new();
        for (path, file) in &self.files {
            let Some(usable) = &file.usable else { continue };
            let ParsedFile::Service(service) = &usable.parsed else { continue };
            let Some((earlier, version)) = defined.get(&service.service) else {
                defined.insert(&service.service, (path, file.version));
                continue;
            };
            let reason = format!("service {} is defined in {earlier}", service.service);
            let mut conflict = file.unusable(path, &reason, None);
            // The conflict began with the newer one of the two versions.
            conflict.version = file.version.max(*version);
            conflicts.push(conflict);
        }
        conflicts
    }

    fn parse_file(&mut self, path: &Arc<str>, file: &FileVersion) {
        let known = self.files.get(path);
        let parsed = match path.parse::<FileKind>() {
            Ok(kind) => ParsedFile::read(kind, path, &file.text).map_err(|error| error.to_string()),
            Err(error) => Err(error.to_string()),
        };
        let (fault, usable) = match parsed {
            Ok(parsed) => (None, Some(UsableFile { version: file.version, parsed })),
            Err(fault) => (Some(Arc::from(fault)), known.and_then(|known| known.usable.clone())),
        };
        self.files.insert(Arc::clone(path), FileStatus { version: file.version, fault, usable });
    }

    fn faulty_files(&self) -> Vec<UnusableFile> {
        let faulty = |(path, file): (&Arc<str>, &FileStatus)| {
            let fault = file.fault.clone()?;
            let serving = file.usable.as_ref().map(|usable| usable.version);
            Some(file.unusable(path, &fault, serving))
        };
        self.files.iter().filter_map(faulty).collect()
    }
}

impl FileStatus {
    fn unusable(&self, path: &Arc<str>, reason: &str, serving: Option<LogOffset>) -> UnusableFile {
        UnusableFile {
            path: Arc::clone(path),
            version: self.version,
            reason: Arc::from(reason),
            serving,
        }
    }
}
