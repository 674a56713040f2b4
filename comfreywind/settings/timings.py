"""Time limits and periods of an entry process, in seconds."""

from pydantic import Field, model_validator

from comfreywind.settings.base import SettingsModel


class Timings(SettingsModel):
    """Periods and limits; the defaults are those of docs/design.md."""

    renew_interval_s: float = Field(default=1, gt=0)
    session_ttl_s: float = Field(default=4, gt=0)
    clock_drift_ratio: float = Field(default=0.01, ge=0, lt=1)
    fresh_s: float = Field(default=4, gt=0)
    feed_interval_s: float = Field(default=0.5, gt=0)
    vm_list_interval_s: float = Field(default=1, gt=0)
    heartbeat_interval_s: float = Field(default=0.25, gt=0)
    peer_silent_s: float = Field(default=1.5, gt=0)
    platform_timeout_s: float = Field(default=2, gt=0)
    silent_probe_s: float = Field(default=1, gt=0)
    connect_timeout_s: float = Field(default=1, gt=0)
    confirm_wait_s: float = Field(default=2, ge=0)
    drain_notice_s: float = Field(default=2, ge=0)
    stop_limit_s: float = Field(default=900, ge=0)
    default_deadline_s: float = Field(default=30, gt=0)
    suspect_s: float = Field(default=10, gt=0)
    summary_interval_s: float = Field(default=60, gt=0)
    claim_retention_s: float = Field(default=86400, gt=0)
    control_interval_s: float = Field(default=1, gt=0)
    control_quiet_s: float = Field(default=3, ge=0)
    control_renew_s: float = Field(default=2, gt=0)
    control_ttl_s: float = Field(default=8, gt=0)
    control_handover_s: float = Field(default=5, gt=0)
    probe_timeout_s: float = Field(default=1, gt=0)
    doubt_s: float = Field(default=1, ge=0)
    reboot_retry_s: float = Field(default=5, gt=0)
    reboot_limit_s: float = Field(default=600, gt=0)
    retire_s: float = Field(default=3600, gt=0)
    run_margin_s: float = Field(default=2, ge=0)
    decision_flush_s: float = Field(default=30, gt=0)

    @model_validator(mode='after')
    def check_fresh(self) -> 'Timings':
        """Refuse timings with which a slow store makes every view stale between two attempts."""
        attempt_s = self.platform_timeout_s + self.feed_interval_s
        if self.fresh_s <= attempt_s + 2 * self.heartbeat_interval_s:
            raise ValueError(
                'fresh_s must be above platform_timeout_s + feed_interval_s'
                ' + 2 * heartbeat_interval_s'
            )
        return self
