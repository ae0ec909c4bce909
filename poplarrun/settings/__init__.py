"""Settings of one host: a YAML file, validated."""

from poplarrun.settings._settings import (
    HostSettings,
    LimitSettings,
    PlatformAddresses,
    SettingsProblems,
    load_settings,
)

__all__ = [
    "HostSettings",
    "LimitSettings",
    "PlatformAddresses",
    "SettingsProblems",
    "load_settings",
]
