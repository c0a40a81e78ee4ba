package org.heatherhaven.node.settings;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

import org.heatherhaven.core.logic.admission.AdmissionMode;
import org.heatherhaven.core.logic.idempotency.IdempotencyLogic.LedgerLimits;
import org.heatherhaven.core.logic.node.NodeRules;
import org.heatherhaven.core.logic.node.NodeRules.DrainTimes;
import org.heatherhaven.core.logic.node.NodeRules.KeyTrust;
import org.heatherhaven.core.logic.retry.RetryLimits;
import org.heatherhaven.core.logic.retry.RetryMode;
import org.heatherhaven.core.logic.routing.RoutingMode;
import org.heatherhaven.core.model.Zone;
import org.heatherhaven.node.entry.EntrySettings;
import org.heatherhaven.node.peer.FlowControl;
import org.heatherhaven.node.settings.NodeSettings.TlsFiles;
import org.heatherhaven.node.target.TargetSettings;

/** Reads and validates the settings of a node from TOML. */
public final class NodeSettingsReader {

    private static final long DEFAULT_SEED = 1;
    private static final long DEFAULT_PLATFORM_TIMEOUT_MS = 1_000;
    private static final long DEFAULT_HEADER_BYTES = 16 * 1024;
    private static final long DEFAULT_BODY_BYTES = 16 * 1024 * 1024;
    private static final long DEFAULT_FRAME_BYTES = 1024 * 1024;
    private static final long DEFAULT_CONNECTIONS = 10_000;
    private static final long DEFAULT_MAILBOX_CAPACITY = 10_000;
    private static final long DEFAULT_THREADS = 2;
    private static final int MIN_SECRET_CHARS = 16;
    private static final long MAX_MILLIS = Duration.ofHours(24).toMillis();
    private static final long MAX_COUNT = 1_000_000;
    private static final long MAX_BYTES = Integer.MAX_VALUE;
    private static final long MIN_BYTES = 1_024;
    /** A piece of a body, or a whole answer with its head, fits into a frame of this size. */
    private static final long MIN_FRAME_BYTES = 2L * FlowControl.BODY_WINDOW_BYTES;

    /**
     * The request line and the headers each have up to the limit of a head, and a byte of them takes up to two in a
     * frame; the same again is left for what nodes add.
     */
    private static final int FRAME_BYTES_PER_HEADER_BYTE = 8;

    private static final long MAX_THREADS = 64;
    private static final long MAX_COALESCING_US = 20_000;
    private static final long NANOS_PER_MICRO = 1_000;

    private NodeSettingsReader() {}

    /**
     * Reads a settings file and validates all of it.
     *
     * @param path the file
     * @return the settings
     * @throws SettingsException if the file is not valid; the message names the file, line and setting, and the
     *     expected value
     */
    public static NodeSettings read(Path path) {
        return read(TomlTable.read(path));
    }

    /**
     * Reads and validates settings. Tables that an adapter has read from the same root before are not rejected as
     * unknown.
     *
     * @param root root table of the file
     * @return the settings
     * @throws SettingsException if a setting is unknown, missing or not valid
     */
    public static NodeSettings read(TomlTable root) {
        TomlTable place = root.table("place");
        Zone zone = new Zone(place.requiredString("region"), place.requiredString("zone"));
        TomlTable listen = root.table("listen");
        InetSocketAddress callerAddress = listen.address("callers");
        Optional<InetSocketAddress> targetCallAddress = listen.optionalAddress("target_calls");
        InetSocketAddress peerAddress = listen.address("peers");
        InetSocketAddress operatorAddress = listen.address("operators");
        Optional<String> operatorToken = listen.optionalString("operator_token");
        if (targetCallAddress
                .filter(address -> !address.getAddress().isLoopbackAddress())
                .isPresent()) {
            throw listen.invalidValue("target_calls", "an address on loopback, for the node's own target only");
        }
        TargetSettings target = target(root.table("target"));
        TomlTable platform = root.table("platform");
        String platformUrl = platform.requiredString("url");
        Duration platformTimeout = millis(platform, "timeout_ms", DEFAULT_PLATFORM_TIMEOUT_MS);
        List<String> secrets = secrets(root.table("fleet"));
        TomlTable limits = root.table("limits");
        EntrySettings entry = new EntrySettings(
                (int) limits.integer("header_bytes", MIN_BYTES, MAX_BYTES, Optional.of(DEFAULT_HEADER_BYTES)),
                limits.integer("body_bytes", 0, Long.MAX_VALUE, Optional.of(DEFAULT_BODY_BYTES)),
                (int) limits.integer("connections", 1, MAX_COUNT, Optional.of(DEFAULT_CONNECTIONS)));
        int maxFrameBytes =
                (int) limits.integer("frame_bytes", MIN_FRAME_BYTES, MAX_BYTES, Optional.of(DEFAULT_FRAME_BYTES));
        if (entry.maxHeaderBytes() > maxFrameBytes / FRAME_BYTES_PER_HEADER_BYTE) {
            throw limits.invalidValue(
                    "header_bytes",
                    "at most an eighth of frame_bytes, so that the head of each call fits into a frame");
        }
        int mailboxCapacity =
                (int) limits.integer("waiting_events", 1, MAX_COUNT, Optional.of(DEFAULT_MAILBOX_CAPACITY));
        int trafficThreads = (int) limits.integer("traffic_threads", 1, MAX_THREADS, Optional.of(DEFAULT_THREADS));
        boolean controlOnTrafficThreads = limits.flag("shared_threads", false);
        Duration coalescingDelay = Duration.ofNanos(
                NANOS_PER_MICRO * limits.integer("coalescing_us", 0, MAX_COALESCING_US, Optional.of(0L)));
        NodeRules rules = rules(root).withHomeService(target.service());
        Optional<TlsFiles> tls = tls(root.table("tls"));
        root.rejectUnknownKeys();
        return new NodeSettings(
                zone,
                callerAddress,
                targetCallAddress,
                peerAddress,
                operatorAddress,
                operatorToken,
                target,
                platformUrl,
                platformTimeout,
                secrets,
                entry,
                maxFrameBytes,
                mailboxCapacity,
                trafficThreads,
                controlOnTrafficThreads,
                coalescingDelay,
                tls,
                rules);
    }

    private static TargetSettings target(TomlTable table) {
        boolean reports = table.flag("reports", false);
        return new TargetSettings(
                table.requiredString("service"),
                table.address("address"),
                (int) table.integer("slots", 1, MAX_COUNT, reports ? Optional.of(1L) : Optional.empty()),
                (int) table.integer("connections", 1, MAX_COUNT, Optional.empty()),
                reports);
    }

    private static List<String> secrets(TomlTable table) {
        List<String> secrets = table.strings("secrets");
        boolean longEnough = secrets.stream().allMatch(secret -> secret.length() >= MIN_SECRET_CHARS);
        if (secrets.isEmpty() || !longEnough) {
            throw table.invalidValue("secrets", "a list of texts of at least " + MIN_SECRET_CHARS + " characters");
        }
        return secrets;
    }

    private static NodeRules rules(TomlTable root) {
        TomlTable strategy = root.table("strategy");
        TomlTable ledger = root.table("ledger");
        NodeRules defaults = NodeRules.defaults(strategy.integer("seed", 0, Long.MAX_VALUE, Optional.of(DEFAULT_SEED)));
        Duration resubmissionWindow = millis(
                ledger, "memory_ms", defaults.ledger().resubmissionWindow().toMillis());
        int maxKeys = (int) ledger.integer(
                "keys", 1, MAX_COUNT, Optional.of((long) defaults.ledger().maxKeys()));
        boolean openedWithPolicy = ledger.flag("prepared", defaults.ledger().openedWithPolicy());
        return defaults.withModes(
                        strategy.enumConstant("admission", AdmissionMode.class, Optional.of(defaults.admission())),
                        strategy.enumConstant("routing", RoutingMode.class, Optional.of(defaults.routing())),
                        strategy.enumConstant("retry", RetryMode.class, Optional.of(defaults.retry())))
                .withLedger(new LedgerLimits(resubmissionWindow, maxKeys, openedWithPolicy))
                .withLimits(retryLimits(root), keyTrust(root), drainTimes(root));
    }

    private static RetryLimits retryLimits(TomlTable root) {
        TomlTable retries = root.table("retries");
        RetryLimits defaults = RetryLimits.DEFAULT;
        return new RetryLimits(
                retries.decimal("ratio", 0, 1, defaults.ratio()),
                retries.decimal("slack", 0, MAX_COUNT, defaults.slack()),
                millis(retries, "window_ms", defaults.window().toMillis()));
    }

    private static KeyTrust keyTrust(TomlTable root) {
        TomlTable keys = root.table("keys");
        KeyTrust defaults = NodeRules.defaults(DEFAULT_SEED).keyTrust();
        return new KeyTrust(
                millis(keys, "trusted_for_ms", defaults.maxConfirmationAge().toMillis()),
                keys.flag("peers_vouch", defaults.peerContactSuffices()));
    }

    private static DrainTimes drainTimes(TomlTable root) {
        TomlTable drain = root.table("drain");
        DrainTimes defaults = NodeRules.defaults(DEFAULT_SEED).drain();
        return new DrainTimes(
                millis(drain, "grace_ms", defaults.grace().toMillis()),
                millis(drain, "limit_ms", defaults.limit().toMillis()));
    }

    /** Reads a positive duration in milliseconds, at most a day. */
    private static Duration millis(TomlTable table, String key, long fallback) {
        return Duration.ofMillis(table.integer(key, 1, MAX_MILLIS, Optional.of(fallback)));
    }

    private static Optional<TlsFiles> tls(TomlTable table) {
        if (!table.present()) {
            return Optional.empty();
        }
        return Optional.of(new TlsFiles(
                Path.of(table.requiredString("certificate")),
                Path.of(table.requiredString("key")),
                Path.of(table.requiredString("authority"))));
    }
}
