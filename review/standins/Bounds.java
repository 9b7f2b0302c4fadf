import java.util.List;

/** The bounds of the deployment, those of the first installation on the users' pages. */
final class Bounds {
    static final int LEASE_MAX_MS = 10_000;
    static final int DRAIN_MS = 2_000;
    static final int STOP_MS = 900;
    static final int FINISH_S = 14;
    static final List<String> SETTINGS = List.of(
            "bounds.seed_lag_s=3", "bounds.reuse_after_s=2", "bounds.contact_ms=3000", "bounds.ack_ms=4000",
            "bounds.catch_up_s=4", "bounds.drain_ms=" + DRAIN_MS, "bounds.grace_s=6", "bounds.loss_slack_ms=200",
            "bounds.config_apply_ms=2000", "bounds.rollback_slack_ms=250", "bounds.stretch_max_ms=5000",
            "bounds.recovery_s=12", "bounds.hold_max_ms=" + LEASE_MAX_MS, "bounds.stop_ms=" + STOP_MS,
            "bounds.gang_ms=3000", "bounds.cancel_ms=3000", "bounds.visible_ms=3000", "bounds.early_ms=250",
            "bounds.finish_s=" + FINISH_S, "bounds.status_s=120", "bounds.remote_factor=2",
            "bounds.checkpoint_s=0.5", "bounds.restore_ms=250", "bounds.notice_ms=4500", "bounds.move_s=1.5",
            "bounds.maintenance_s=2", "bounds.fencing=true", "bounds.lease_ms=3000", "bounds.thaw_ms=300",
            "bounds.pace_ms=100", "bounds.harm_ms=5500");

    private Bounds() {}
}
