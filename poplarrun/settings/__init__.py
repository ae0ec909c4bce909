"""The settings of one host: read from a YAML file and validated."""

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
