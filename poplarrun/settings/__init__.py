"""Settings of one host: a YAML file, validated."""

from poplarrun.settings._settings import (
    CallersTls,
    HostSettings,
    LimitSettings,
    PeersTls,
    PlatformAddresses,
    PlatformTlsSettings,
    SettingsProblems,
    StopSettings,
    TlsSettings,
    load_settings,
)

__all__ = [
    "CallersTls",
    "HostSettings",
    "LimitSettings",
    "PeersTls",
    "PlatformAddresses",
    "PlatformTlsSettings",
    "SettingsProblems",
    "StopSettings",
    "TlsSettings",
    "load_settings",
]
