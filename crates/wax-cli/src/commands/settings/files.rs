//! Reads and writes the settings tree as a folder of YAML files: `organisation.yaml`, and
//! `teams/TEAM.yaml` for each team.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use wax_settings::{NodeLevel, NodePath, NodeSettings, SettingsFile, SettingsTree, parse_yaml};
use wax_types::{ErrorKind, Step, WaxError};

const ORGANISATION_FILE: &str = "organisation.yaml";
const TEAMS_FOLDER: &str = "teams";

/// Contents of a team's file.
#[derive(Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct TeamFile {
    #[serde(default)]
    settings: NodeSettings,
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    services: BTreeMap<String, ServiceSection>,
}

/// Section of a service in a team's file.
#[derive(Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct ServiceSection {
    #[serde(default)]
    settings: NodeSettings,
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    kinds: BTreeMap<String, NodeSettings>,
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    watches: BTreeMap<String, NodeSettings>,
}

/// Reads a folder and validates the tree.
pub(super) fn read_folder(folder: &Path) -> Result<SettingsTree, WaxError> {
    let mut tree = SettingsTree::default();
    let file = SettingsFile::read(&folder.join(ORGANISATION_FILE))?;
    tree.nodes.insert(NodePath::root(), parse_yaml(&file)?);
    for path in team_files(&folder.join(TEAMS_FOLDER))? {
        let file = SettingsFile::read(&path)?;
        let team: TeamFile = parse_yaml(&file)?;
        let name = path.file_stem().unwrap_or_default().to_string_lossy();
        add_team(&mut tree, &name, team)
            .and_then(|()| tree.check())
            .map_err(|error| {
                let key = error.peer.rsplit(' ').next().unwrap_or_default().to_owned();
                file.key_error(&key, &error.label, &error.help)
            })?;
    }
    tree.check()?;
    Ok(tree)
}

fn team_files(folder: &Path) -> Result<Vec<PathBuf>, WaxError> {
    let unreadable = |error| {
        let place = folder.display().to_string();
        WaxError::new(ErrorKind::Invalid, Step::ReadSettings, place, error)
            .with_help("the folder must exist and hold one YAML file for each team")
    };
    let mut files = Vec::new();
    for entry in std::fs::read_dir(folder).map_err(unreadable)? {
        let path = entry.map_err(unreadable)?.path();
        if path
            .extension()
            .is_some_and(|extension| extension == "yaml")
        {
            files.push(path);
        }
    }
    files.sort();
    Ok(files)
}

fn add_team(tree: &mut SettingsTree, name: &str, team: TeamFile) -> Result<(), WaxError> {
    let mut add = |path: NodePath, settings: NodeSettings| -> Result<(), WaxError> {
        let path: NodePath = path.as_str().parse()?;
        tree.nodes.insert(path, settings);
        Ok(())
    };
    add(NodePath::team(name), team.settings)?;
    for (service, section) in team.services {
        add(NodePath::service(name, &service), section.settings)?;
        for (kind, settings) in section.kinds {
            add(NodePath::kind(name, &service, &kind), settings)?;
        }
        for (watch, settings) in section.watches {
            add(NodePath::watch(name, &service, &watch), settings)?;
        }
    }
    Ok(())
}

/// Writes a tree as files from which [`read_folder`] reads the same tree.
pub(super) fn write_folder(folder: &Path, tree: &SettingsTree) -> Result<(), WaxError> {
    let mut teams: BTreeMap<String, TeamFile> = BTreeMap::new();
    let mut organisation = NodeSettings::default();
    for (path, settings) in &tree.nodes {
        let parts: Vec<&str> = path.as_str().split('/').skip(1).collect();
        match (path.level(), parts.as_slice()) {
            (NodeLevel::Organisation, _) => organisation = settings.clone(),
            (NodeLevel::Team, [team]) => {
                teams.entry((*team).into()).or_default().settings = settings.clone();
            }
            (level, [team, service, rest @ ..]) => {
                let team = teams.entry((*team).into()).or_default();
                let section = team.services.entry((*service).into()).or_default();
                match (level, rest) {
                    (NodeLevel::JobKind, [_, kind]) => {
                        section.kinds.insert((*kind).into(), settings.clone());
                    }
                    (NodeLevel::StandingWatch, [_, watch]) => {
                        section.watches.insert((*watch).into(), settings.clone());
                    }
                    _ => section.settings = settings.clone(),
                }
            }
            _ => {}
        }
    }
    write_yaml(&folder.join(ORGANISATION_FILE), &organisation)?;
    for (team, file) in &teams {
        write_yaml(
            &folder.join(TEAMS_FOLDER).join(format!("{team}.yaml")),
            file,
        )?;
    }
    Ok(())
}

fn write_yaml<T: Serialize>(path: &Path, value: &T) -> Result<(), WaxError> {
    let place = path.display().to_string();
    let failed =
        |error: String| WaxError::new(ErrorKind::Invalid, Step::ReadSettings, place, error);
    let text = serde_saphyr::to_string(value).map_err(|error| failed.clone()(error.to_string()))?;
    if let Some(folder) = path.parent() {
        std::fs::create_dir_all(folder).map_err(|error| failed.clone()(error.to_string()))?;
    }
    std::fs::write(path, text).map_err(|error| failed(error.to_string()))
}
