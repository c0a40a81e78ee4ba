package org.heatherhaven.node.settings;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.function.Consumer;
import java.util.stream.Stream;

import net.jqwik.api.Example;
import org.heatherhaven.core.logic.admission.AdmissionMode;
import org.heatherhaven.core.logic.node.NodeRules;
import org.heatherhaven.core.logic.node.QuotaMode;
import org.heatherhaven.core.logic.retry.RetryMode;
import org.heatherhaven.core.logic.routing.RoutingMode;
import org.heatherhaven.core.model.Importance;
import org.heatherhaven.core.model.PolicyPatch;
import org.heatherhaven.core.model.Route;
import org.heatherhaven.core.model.Team;
import org.heatherhaven.node.RecordedText;

/**
 * Guards the keys, values and defaults of settings and patches, and the error messages for those that are not valid.
 */
class RecordedSettingsTest {

    private static final Path EXAMPLES = Path.of("..", "config", "example");

    private static NodeSettings node(String text) {
        return NodeSettingsReader.read(TomlTable.parse("node.toml", text));
    }

    private static PolicyPatch patch(String text) {
        return PatchReader.read(TomlTable.parse("patch.toml", text), "the author");
    }

    private static String problem(Runnable read) {
        try {
            read.run();
            return "accepted";
        } catch (SettingsException e) {
            return e.getMessage();
        }
    }

    private static String name(AdmissionMode mode) {
        return switch (mode) {
            case RANKED -> "ranked";
            case FAIR_SHED -> "fair-shed";
            case FIFO_QUEUE -> "fifo-queue";
            case PASS_THROUGH -> "pass-through";
        };
    }

    private static String name(RoutingMode mode) {
        return switch (mode) {
            case TWO_CHOICES -> "two-choices";
            case RANDOM -> "random";
        };
    }

    private static String name(RetryMode mode) {
        return switch (mode) {
            case BUDGET -> "budget";
            case EVERY_HOP -> "every-hop";
        };
    }

    private static String name(QuotaMode mode) {
        return switch (mode) {
            case PLACED -> "placed";
            case LEASED -> "leased";
        };
    }

    private static String name(Importance importance) {
        return switch (importance) {
            case CRITICAL -> "critical";
            case HIGH -> "high";
            case NORMAL -> "normal";
            case LOW -> "low";
        };
    }

    private static String text(InetSocketAddress address) {
        return address.getHostString() + ":" + address.getPort();
    }

    private static List<String> described(NodeSettings settings) {
        List<String> lines = new ArrayList<>(List.of(
                "place.region " + settings.zone().region(),
                "place.zone " + settings.zone().name(),
                "listen.callers " + text(settings.callerAddress()),
                "listen.target_calls "
                        + settings.targetCallAddress()
                                .map(RecordedSettingsTest::text)
                                .orElse("-"),
                "listen.peers " + text(settings.peerAddress()),
                "listen.operators " + text(settings.operatorAddress()),
                "listen.operator_token " + settings.operatorToken().orElse("-"),
                "target.service " + settings.target().service(),
                "target.address " + text(settings.target().address()),
                "target.slots " + settings.target().slots(),
                "target.connections " + settings.target().maxConnections(),
                "target.reports " + settings.target().sendsReports(),
                "platform.url " + settings.platformUrl(),
                "platform.timeout " + settings.platformTimeout(),
                "fleet.secrets " + settings.secrets(),
                "limits.header_bytes " + settings.entry().maxHeaderBytes(),
                "limits.body_bytes " + settings.entry().maxBodyBytes(),
                "limits.connections " + settings.entry().maxConnections(),
                "limits.frame_bytes " + settings.maxFrameBytes(),
                "limits.waiting_events " + settings.mailboxCapacity(),
                "limits.traffic_threads " + settings.trafficThreads(),
                "limits.shared_threads " + settings.controlOnTrafficThreads(),
                "limits.coalescing " + settings.coalescingDelay()));
        lines.addAll(described(settings.rules()));
        lines.add("tls.certificate "
                + settings.tls().map(tls -> tls.certificate().toString()).orElse("-"));
        lines.add("tls.key " + settings.tls().map(tls -> tls.key().toString()).orElse("-"));
        lines.add("tls.authority "
                + settings.tls().map(tls -> tls.authority().toString()).orElse("-"));
        return lines;
    }

    private static List<String> described(NodeRules rules) {
        return List.of(
                "strategy.admission " + name(rules.admission()),
                "strategy.routing " + name(rules.routing()),
                "strategy.retry " + name(rules.retry()),
                "strategy.seed " + rules.seed(),
                "ledger.memory " + rules.ledger().resubmissionWindow(),
                "ledger.keys " + rules.ledger().maxKeys(),
                "ledger.prepared " + rules.ledger().openedWithPolicy(),
                "retries.ratio " + rules.retryLimits().ratio(),
                "retries.slack " + rules.retryLimits().slack(),
                "retries.window " + rules.retryLimits().window(),
                "keys.trusted_for " + rules.keyTrust().maxConfirmationAge(),
                "keys.peers_vouch " + rules.keyTrust().peerContactSuffices(),
                "drain.grace " + rules.drain().grace(),
                "drain.limit " + rules.drain().limit(),
                "quota mode " + name(rules.quota()),
                "quota slack " + rules.quotaSlack(),
                "largest number of calls " + rules.maxCalls(),
                "largest number of children " + rules.maxChildren(),
                "home service " + rules.homeService());
    }

    private static List<String> described(PolicyPatch patch) {
        List<String> lines = new ArrayList<>(List.of(
                "id " + patch.id(),
                "base " + patch.base(),
                "author " + patch.author(),
                "note " + patch.note(),
                "remove.teams " + patch.removedTeams(),
                "remove.routes " + patch.removedRoutes(),
                "remove.keys " + patch.withdrawnKeys()));
        for (Team team : patch.teams()) {
            lines.add("team " + team.name() + " rate " + team.rate() + " burst " + team.burst() + " shares "
                    + team.shares() + " importance "
                    + team.importance().map(RecordedSettingsTest::name).orElse("-"));
        }
        for (Route route : patch.routes()) {
            lines.add("route " + route.name() + " host [" + route.host() + "] path " + route.path() + " importance "
                    + name(route.importance()) + " unrepeatable " + route.unrepeatable() + " open " + route.open()
                    + " timeout " + route.timeout() + " aim " + route.limits().aim() + " retries " + route.retries());
            route.services().forEach(part -> lines.add("  service " + part.service() + " weight " + part.weight()));
        }
        patch.keys().forEach(key -> lines.add("key " + key.hash() + " team " + key.team()));
        return lines;
    }

    @Example
    void everySettingIsReadAsRecorded() {
        RecordedText.require("settings/every.txt", described(node(RecordedText.read("settings/every.toml"))));
    }

    @Example
    void theDefaultsAreAsRecorded() {
        RecordedText.require("settings/least.txt", described(node(RecordedText.read("settings/least.toml"))));
    }

    @Example
    void everyPartOfAPatchIsReadAsRecorded() {
        RecordedText.require(
                "settings/every-patch.txt", described(patch(RecordedText.read("settings/every-patch.toml"))));
    }

    /** Inserts a line into each table in turn; the error messages list the keys known there. */
    private static List<String> withExtraLine(String text, String line, Consumer<String> read) {
        List<String> seen = new ArrayList<>();
        List<String> lines = text.lines().toList();
        for (int at = 0; at <= lines.size(); at++) {
            boolean header = at > 0 && lines.get(at - 1).startsWith("[");
            if (at == 0 || header) {
                List<String> changed = new ArrayList<>(lines);
                changed.add(at, line);
                seen.add((at == 0 ? "root" : lines.get(at - 1)) + ": "
                        + problem(() -> read.accept(String.join("\n", changed))));
            }
        }
        return seen;
    }

    /** Omits each setting in turn. */
    private static List<String> withoutEachLine(String text, Consumer<String> read) {
        List<String> seen = new ArrayList<>();
        List<String> lines = text.lines().toList();
        for (int at = 0; at < lines.size(); at++) {
            if (lines.get(at).contains(" = ")) {
                List<String> changed = new ArrayList<>(lines);
                changed.remove(at);
                seen.add("without " + lines.get(at) + ": " + problem(() -> read.accept(String.join("\n", changed))));
            }
        }
        return seen;
    }

    /** Replaces the value of each setting in turn by values that are not valid for most settings. */
    private static List<String> withBadValues(String text, Consumer<String> read) {
        List<String> seen = new ArrayList<>();
        List<String> lines = text.lines().toList();
        for (int at = 0; at < lines.size(); at++) {
            int equals = lines.get(at).indexOf(" = ");
            for (String value : equals < 0 ? List.<String>of() : List.of("{}", "-1", "\"\"", "\"nonsense\"", "[1]")) {
                List<String> changed = new ArrayList<>(lines);
                changed.set(at, lines.get(at).substring(0, equals) + " = " + value);
                seen.add(changed.get(at) + ": " + problem(() -> read.accept(String.join("\n", changed))));
            }
        }
        return seen;
    }

    @Example
    void invalidSettingsAreRejectedAsRecorded() {
        String every = RecordedText.read("settings/every.toml");
        String leastText = RecordedText.read("settings/least.toml");
        List<String> seen = new ArrayList<>();
        seen.addAll(withExtraLine(every, "no_such_setting = 1", RecordedSettingsTest::node));
        seen.addAll(withExtraLine(leastText, "no_such_setting = 1", RecordedSettingsTest::node));
        seen.add("unknown table: " + problem(() -> node(every + "\n[no_such_table]\nx = 1\n")));
        seen.addAll(withoutEachLine(every, RecordedSettingsTest::node));
        seen.addAll(withoutEachLine(leastText, RecordedSettingsTest::node));
        seen.addAll(withBadValues(every, RecordedSettingsTest::node));
        seen.add("not TOML: " + problem(() -> node("[place\n")));
        seen.add("not on loopback: "
                + problem(() -> node(every.replace("target_calls = \"127.0.0.1", "target_calls = \"10.0.0.1"))));
        seen.add("short secret: " + problem(() -> node(leastText.replace("a-recorded-secret-of-the-fleet", "short"))));
        RecordedText.require("settings/refused.txt", seen);
    }

    @Example
    void invalidPatchesAreRejectedAsRecorded() {
        String every = RecordedText.read("settings/every-patch.toml");
        List<String> seen = new ArrayList<>();
        seen.addAll(withExtraLine(every, "no_such_setting = 1", RecordedSettingsTest::patch));
        seen.addAll(withoutEachLine(every, RecordedSettingsTest::patch));
        seen.addAll(withBadValues(every, RecordedSettingsTest::patch));
        RecordedText.require("settings/refused-patches.txt", seen);
    }

    private static void requireEqual(Object expected, Object seen) {
        if (!expected.equals(seen)) {
            throw new AssertionError("expected " + expected + ", saw " + seen);
        }
    }

    @Example
    void everyValueOfAnEnumeratedSettingIsAccepted() {
        String every = RecordedText.read("settings/every.toml");
        for (AdmissionMode mode : AdmissionMode.values()) {
            requireEqual(
                    mode,
                    node(every.replace("\"ranked\"", "\"" + name(mode) + "\""))
                            .rules()
                            .admission());
        }
        for (RoutingMode mode : RoutingMode.values()) {
            requireEqual(
                    mode,
                    node(every.replace("\"random\"", "\"" + name(mode) + "\""))
                            .rules()
                            .routing());
        }
        for (RetryMode mode : RetryMode.values()) {
            requireEqual(
                    mode,
                    node(every.replace("\"every-hop\"", "\"" + name(mode) + "\""))
                            .rules()
                            .retry());
        }
        String patch = RecordedText.read("settings/every-patch.toml");
        for (Importance importance : Importance.values()) {
            requireEqual(
                    importance,
                    patch(patch.replace("\"critical\"", "\"" + name(importance) + "\""))
                            .routes()
                            .get(0)
                            .importance());
        }
    }

    @Example
    void theExamplesAreReadAsRecorded() throws IOException {
        List<Path> files;
        try (Stream<Path> found = Files.list(EXAMPLES)) {
            files = found.filter(file -> file.toString().endsWith(".toml"))
                    .sorted(Comparator.comparing(Path::toString))
                    .toList();
        }
        List<String> seen = new ArrayList<>();
        for (Path file : files) {
            seen.add("== " + file.getFileName());
            if (file.getFileName().toString().endsWith("patch.toml")) {
                seen.addAll(described(PatchReader.read(file, "the author")).stream()
                        .map(line -> line.startsWith("id ") ? "id at random" : line)
                        .toList());
            } else {
                seen.addAll(described(NodeSettingsReader.read(file)));
            }
        }
        RecordedText.require("settings/examples.txt", seen);
    }

    /** Settings that the examples show only as comments are accepted, too. */
    @Example
    void settingsInCommentsOfTheExamplesAreAccepted() throws IOException {
        for (String name : List.of("bookings.toml", "pricing.toml")) {
            String text = Files.readString(EXAMPLES.resolve(name));
            String all = String.join(
                    "\n",
                    Arrays.stream(text.split("\n"))
                            .map(line -> line.matches("# (\\[.*|[a-z_]+ = .*)") ? line.substring(2) : line)
                            .toList());
            requireEqual("fleet.pem", node(all).tls().orElseThrow().authority().toString());
        }
    }
}
