//! From the published files to the plan in force.

use std::collections::BTreeMap;
use std::sync::Arc;

use base::{LogOffset, ServiceName};

use crate::{ConfigPlan, ConfigState, FileKind, FileVersion, ParsedFile, UnusableFile};

/// What this process knows of one file.
#[derive(Debug, Clone)]
struct FileUse {
    version: LogOffset,
    fault: Option<Arc<str>>,
    usable: Option<(LogOffset, ParsedFile)>,
}

/// Builds plans, and remembers the last usable version of each file.
#[derive(Debug, Clone, Default)]
pub struct PlanBuilder {
    files: BTreeMap<Arc<str>, FileUse>,
    /// The last accepted record that was built; younger versions are to be read.
    built: LogOffset,
}

impl PlanBuilder {
    /// A builder that knows no files.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// The plan for `state`, which is not older than the one before; only files whose
    /// version changed are read.
    pub fn build(&mut self, state: &ConfigState) -> ConfigPlan {
        let built = self.built;
        for (path, file) in state.files.iter().filter(|(_, file)| file.version > built) {
            self.read_file(path, file);
        }
        if self.files.len() > state.files.len() {
            self.files.retain(|path, _| state.files.contains_key(path));
        }
        self.built = state.accepted;
        let (mut services, mut workspaces, mut overrides) = (Vec::new(), Vec::new(), Vec::new());
        for file in self.files.values() {
            match &file.usable {
                Some((_, ParsedFile::Service(service))) => services.push(Arc::clone(service)),
                Some((_, ParsedFile::Workspaces(file))) => workspaces.push(file.clone()),
                Some((_, ParsedFile::Overrides(file))) => overrides.push(file.clone()),
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

    /// Files whose service stands in an earlier file, which counts.
    fn conflicts(&self) -> Vec<UnusableFile> {
        let mut holders: BTreeMap<&ServiceName, (&Arc<str>, LogOffset)> = BTreeMap::new();
        let mut conflicts = Vec::new();
        for (path, file) in &self.files {
            let Some((_, ParsedFile::Service(service))) = &file.usable else { continue };
            let Some((holder, version)) = holders.get(&service.service) else {
                holders.insert(&service.service, (path, file.version));
                continue;
            };
            let reason = format!("service {} stands in {holder}", service.service);
            let mut conflict = file.unusable(path, &reason, None);
            // The conflict began with the younger of both versions.
            conflict.version = file.version.max(*version);
            conflicts.push(conflict);
        }
        conflicts
    }

    fn read_file(&mut self, path: &Arc<str>, file: &FileVersion) {
        let known = self.files.get(path);
        let parsed = match path.parse::<FileKind>() {
            Ok(kind) => ParsedFile::read(kind, path, &file.text).map_err(|error| error.to_string()),
            Err(error) => Err(error.to_string()),
        };
        let (fault, usable) = match parsed {
            Ok(parsed) => (None, Some((file.version, parsed))),
            Err(fault) => (Some(Arc::from(fault)), known.and_then(|known| known.usable.clone())),
        };
        self.files.insert(Arc::clone(path), FileUse { version: file.version, fault, usable });
    }

    fn faulty_files(&self) -> Vec<UnusableFile> {
        let faulty = |(path, file): (&Arc<str>, &FileUse)| {
            let fault = file.fault.clone()?;
            Some(file.unusable(path, &fault, file.usable.as_ref().map(|(version, _)| *version)))
        };
        self.files.iter().filter_map(faulty).collect()
    }
}

impl FileUse {
    fn unusable(&self, path: &Arc<str>, reason: &str, serving: Option<LogOffset>) -> UnusableFile {
        UnusableFile {
            path: Arc::clone(path),
            version: self.version,
            reason: Arc::from(reason),
            serving,
        }
    }
}
